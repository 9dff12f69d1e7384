// Package cvverdict is what the configuration rule says of one record.
package cvverdict

// The results that a verdict can have.
const (
	// Accepted is a publication that is now in force.
	Accepted = "accepted"
	// Conflict is a publication that was made from something older than what is in force.
	Conflict = "conflict"
	// Invalid is a publication that cannot be in force.
	Invalid = "invalid"
	// Ignored is a record that publishes nothing.
	Ignored = "ignored"
)

// Verdict is the result of applying one record, the same on every balancer.
type Verdict struct {
	publication string
	result      string
	reason      string
}

// New returns a verdict on a publication, with the reason for a result other than Accepted.
func New(publication, result, reason string) Verdict {
	return Verdict{publication: publication, result: result, reason: reason}
}

// Publication is the publication's id, or empty.
func (v Verdict) Publication() string { return v.publication }

// Result is one of the results above.
func (v Verdict) Result() string { return v.result }

// Reason says why a publication was not accepted.
func (v Verdict) Reason() string { return v.reason }

// Accepted says whether the publication is in force.
func (v Verdict) Accepted() bool { return v.result == Accepted }
