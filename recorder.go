package comfreyvale

import "time"

// Recorder keeps the decisions that hurt a caller, for explaining them later.
type Recorder interface {
	// Record keeps a decision.
	Record(now time.Time, decision Decision)
	// Explain returns the decisions that concern a request id, an upstream or a service, oldest first.
	Explain(subject string) []Decision
	// String names the implementation.
	String() string
}

// Cause names what decided a call's fate. Its values are stable and appear in answers, metrics and spans.
type Cause string

// The causes.
const (
	CauseNoService        Cause = "noService"
	CauseNoConfiguration  Cause = "noConfiguration"
	CauseNoUpstream       Cause = "noUpstream"
	CauseUpstreamsFull    Cause = "upstreamsFull"
	CauseQueueFull        Cause = "queueFull"
	CauseDeadline         Cause = "deadline"
	CauseCallerGone       Cause = "callerGone"
	CauseRequestTooLarge  Cause = "requestTooLarge"
	CauseRequestBroken    Cause = "requestBroken"
	CauseUpgrade          Cause = "upgradeNotOffered"
	CauseConnect          Cause = "connectFailed"
	CauseUpstreamRefused  Cause = "upstreamRefused"
	CauseUpstreamBroke    Cause = "upstreamBroke"
	CauseAnswerUnframed   Cause = "answerUnframed"
	CauseRetryBudget      Cause = "retryBudget"
	CauseRetried          Cause = "retried"
	CauseHedged           Cause = "hedged"
	CauseEjected          Cause = "ejected"
	CauseDraining         Cause = "draining"
	CauseQuarantined      Cause = "quarantined"
	CauseInProgress       Cause = "inProgress"
	CauseKeyReused        Cause = "keyReused"
	CauseKeyRequired      Cause = "keyRequired"
	CauseClaimUnavailable Cause = "claimUnavailable"
	CauseClaimHolderGone  Cause = "claimHolderGone"
)

// Ran says what is known of whether a request was run by an upstream.
type Ran string

// What can be known of a request.
const (
	// RanNo says that no upstream ran the request or will run it.
	RanNo Ran = "no"
	// RanYes says that an upstream ran the request and answered.
	RanYes Ran = "yes"
	// RanUnknown says that an upstream may have run the request.
	RanUnknown Ran = "unknown"
)

// Decision is one decision about a call, with the setting or condition that made it.
type Decision struct {
	at        time.Time
	request   string
	service   string
	upstream  string
	cause     Cause
	setting   Setting
	condition string
}

// NewDecision returns a decision about a request of a service.
func NewDecision(at time.Time, request, service string, cause Cause) Decision {
	return Decision{at: at, request: request, service: service, cause: cause}
}

// WithUpstream returns the decision with the upstream that it concerns.
func (d Decision) WithUpstream(upstream string) Decision {
	d.upstream = upstream
	return d
}

// WithSetting returns the decision with the setting that made it.
func (d Decision) WithSetting(setting Setting) Decision {
	d.setting = setting
	return d
}

// WithCondition returns the decision with the evidence of the condition that made it.
func (d Decision) WithCondition(condition string) Decision {
	d.condition = condition
	return d
}

// At is when the decision was made.
func (d Decision) At() time.Time { return d.at }

// Request is the id of the request concerned.
func (d Decision) Request() string { return d.request }

// Service is the name of the service concerned.
func (d Decision) Service() string { return d.service }

// Upstream is the name of the upstream concerned, or empty.
func (d Decision) Upstream() string { return d.upstream }

// Cause names the decision's cause.
func (d Decision) Cause() Cause { return d.cause }

// Setting is the setting that made the decision, or the zero value.
func (d Decision) Setting() Setting { return d.setting }

// Condition is the evidence of the condition that made the decision, or empty.
func (d Decision) Condition() string { return d.condition }

// Setting points at one value of an accepted service file.
type Setting struct {
	path     string
	value    string
	file     string
	line     int
	revision string
	author   string
}

// NewSetting returns a pointer at the value of a field in a file's line.
func NewSetting(path, value, file string, line int) Setting {
	return Setting{path: path, value: value, file: file, line: line}
}

// WithRevision returns the setting with the revision and author that published it.
func (s Setting) WithRevision(revision, author string) Setting {
	s.revision = revision
	s.author = author
	return s
}

// Path is the field's path in the file.
func (s Setting) Path() string { return s.path }

// Value is the field's value as text.
func (s Setting) Value() string { return s.value }

// File is the service file's path.
func (s Setting) File() string { return s.file }

// Line is the line in the file, or 0 for a default.
func (s Setting) Line() int { return s.line }

// Revision is the published revision.
func (s Setting) Revision() string { return s.revision }

// Author is who published the revision.
func (s Setting) Author() string { return s.author }
