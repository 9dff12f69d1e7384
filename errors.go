package comfreyvale

// Kind classifies an error, for code that handles errors by their kind.
type Kind string

// The kinds of errors.
const (
	KindInvalid     Kind = "invalid"
	KindConflict    Kind = "conflict"
	KindNotFound    Kind = "notFound"
	KindUnavailable Kind = "unavailable"
	KindUncertain   Kind = "uncertain"
	KindTimeout     Kind = "timeout"
	KindExhausted   Kind = "exhausted"
)

// Fault is the interface of the error types of all packages. It provides the failed operation and the kind of the
// error.
type Fault interface {
	error
	// Operation returns the name of the operation that failed.
	Operation() string
	// Kind returns the kind of the error.
	Kind() Kind
}
