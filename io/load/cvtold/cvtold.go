// Package cvtold defines the outcome of one attempt of a call with an idempotency key.
package cvtold

// Told is what the caller learns from one attempt: the response, or that there was none.
type Told struct {
	tag    string
	result string
	ran    string
}

// New returns the outcome of the attempt with the given tag. Result is one of the results of cvreport. Ran is the value
// of the Comfreyvale-Ran header, or "" if there was none.
func New(tag, result, ran string) Told {
	return Told{tag: tag, result: result, ran: ran}
}

// Tag returns the tag that identifies the attempt.
func (t Told) Tag() string { return t.tag }

// Result returns the result of the attempt, one of the results of cvreport.
func (t Told) Result() string { return t.result }

// Ran returns the response's statement on whether the request ran, or "" if there was none.
func (t Told) Ran() string { return t.ran }
