// Package cvverdict defines the result of applying one record of the configuration stream.
package cvverdict

// The results of applying a record.
const (
	// Accepted is a publication that is in force.
	Accepted = "accepted"
	// Conflict is a publication that contains a service twice, or in which the base of a service is not the last
	// accepted publication of that service.
	Conflict = "conflict"
	// Invalid is a record that cannot be decoded, or a publication with an invalid file or with overlapping services.
	Invalid = "invalid"
	// Ignored is a record that is not a publication.
	Ignored = "ignored"
)

// Verdict is the result of applying one record, the same on every balancer.
type Verdict struct {
	publication string
	result      string
	reason      string
}

// New returns a verdict on a publication. The reason explains any result but Accepted.
func New(publication, result, reason string) Verdict {
	return Verdict{publication: publication, result: result, reason: reason}
}

// Publication returns the ID of the publication, or an empty string for another record.
func (v Verdict) Publication() string { return v.publication }

// Result returns the result: Accepted, Conflict, Invalid or Ignored.
func (v Verdict) Result() string { return v.result }

// Reason returns why the record was not accepted, or an empty string.
func (v Verdict) Reason() string { return v.reason }

// Accepted reports whether the publication is in force.
func (v Verdict) Accepted() bool { return v.result == Accepted }
