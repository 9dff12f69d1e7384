// Package cvoutcome is what the caller of a keyed call was told about one sending of it.
package cvoutcome

// Outcome is one answer, or its absence.
type Outcome struct {
	tag    string
	result string
	ran    string
}

// New returns what was told about the sending with a tag: a result as the report has them, and the answer's word on
// whether the request ran, or empty.
func New(tag, result, ran string) Outcome {
	return Outcome{tag: tag, result: result, ran: ran}
}

// Tag is the sending's own mark.
func (t Outcome) Tag() string { return t.tag }

// Result is the result for the caller.
func (t Outcome) Result() string { return t.result }

// Ran is the answer's word on whether the request ran, or empty.
func (t Outcome) Ran() string { return t.ran }
