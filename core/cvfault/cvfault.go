// Package cvfault is the common part of every package's error type.
package cvfault

import (
	"github.com/pkg/errors"

	"comfreyvale"
)

// Fault carries the operation that failed, the kind of failure and the underlying error.
type Fault struct {
	operation string
	kind      comfreyvale.Kind
	cause     error
}

// New returns a fault of an operation, with the underlying error.
func New(operation string, kind comfreyvale.Kind, cause error) Fault {
	return Fault{operation: operation, kind: kind, cause: errors.WithMessage(cause, operation)}
}

// Error returns the operation and the underlying error as text.
func (f Fault) Error() string { return f.cause.Error() }

// Operation names the operation that failed.
func (f Fault) Operation() string { return f.operation }

// Kind says what sort of failure it was.
func (f Fault) Kind() comfreyvale.Kind { return f.kind }

// Unwrap returns the underlying error.
func (f Fault) Unwrap() error { return errors.Unwrap(f.cause) }

// KindOf returns the kind of the first fault in an error's chain, or the empty kind.
func KindOf(err error) comfreyvale.Kind {
	var fault comfreyvale.Fault
	if errors.As(err, &fault) {
		return fault.Kind()
	}
	return ""
}
