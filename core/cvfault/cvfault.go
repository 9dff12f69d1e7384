// Package cvfault provides the base type that the error types of all packages embed.
package cvfault

import (
	"github.com/pkg/errors"

	"comfreyvale"
)

// Fault is an error with the operation that failed, the kind of failure and the underlying error.
type Fault struct {
	operation string
	kind      comfreyvale.Kind
	cause     error
}

// New returns the fault of an operation; the cause must not be nil.
func New(operation string, kind comfreyvale.Kind, cause error) Fault {
	return Fault{operation: operation, kind: kind, cause: errors.WithMessage(cause, operation)}
}

// Error returns the operation and the text of the underlying error.
func (f Fault) Error() string { return f.cause.Error() }

// Operation returns the name of the operation that failed.
func (f Fault) Operation() string { return f.operation }

// Kind returns the kind of failure.
func (f Fault) Kind() comfreyvale.Kind { return f.kind }

// Unwrap returns the underlying error.
func (f Fault) Unwrap() error { return errors.Unwrap(f.cause) }

// KindOf returns the kind of the first fault in the chain of err, or "" if the chain has no fault.
func KindOf(err error) comfreyvale.Kind {
	var fault comfreyvale.Fault
	if errors.As(err, &fault) {
		return fault.Kind()
	}
	return ""
}
