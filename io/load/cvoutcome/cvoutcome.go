// Package cvoutcome defines the outcome of one attempt of a call with an idempotency key.
package cvoutcome

// Outcome is what the caller learns from one attempt: the response, or that there was none.
type Outcome struct {
	tag    string
	result string
	ran    string
}

// New returns an outcome. Result is a result of cvreport; ran is the value of the Comfreyvale-Ran header, or "".
func New(tag, result, ran string) Outcome {
	return Outcome{tag: tag, result: result, ran: ran}
}

// Tag returns the tag that identifies the attempt.
func (o Outcome) Tag() string { return o.tag }

// Result returns the result of the attempt, one of those of cvreport.
func (o Outcome) Result() string { return o.result }

// Ran returns the value of the Comfreyvale-Ran header, or "".
func (o Outcome) Ran() string { return o.ran }
