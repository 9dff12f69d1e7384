package comfreyvale

// Kind classifies errors for code that handles them.
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
	KindLimited     Kind = "limited"
)

// Fault is implemented by the error types of all packages.
type Fault interface {
	error
	// Operation returns the name of the operation that failed.
	Operation() string
	// Kind returns the kind of the error.
	Kind() Kind
}
