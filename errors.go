package comfreyvale

// Kind says what sort of failure an error is, for callers that act on it.
type Kind string

// The kinds of failure.
const (
	KindInvalid     Kind = "invalid"
	KindConflict    Kind = "conflict"
	KindNotFound    Kind = "notFound"
	KindUnavailable Kind = "unavailable"
	KindUncertain   Kind = "uncertain"
	KindTimeout     Kind = "timeout"
	KindExhausted   Kind = "exhausted"
)

// Fault is what every package's error type offers: the operation that failed and the kind of failure.
type Fault interface {
	error
	// Operation names the operation that failed.
	Operation() string
	// Kind says what sort of failure it was.
	Kind() Kind
}
