package comfreyvale

import "time"

// Recorder stores the decisions that affected requests or removed upstreams. It is safe for concurrent use.
type Recorder interface {
	// Record stores a decision.
	Record(now time.Time, decision Decision)
	// Explain returns the decisions about a request ID, an upstream or a service, oldest first.
	Explain(subject string) []Decision
	// String returns a short description of the implementation.
	String() string
}

// Cause is the reason for a decision. Its values are stable, because they appear in responses, metrics and spans.
type Cause string

// The causes of decisions.
const (
	CauseNoService        Cause = "noService"
	CauseNoConfiguration  Cause = "noConfiguration"
	CauseNoUpstream       Cause = "noUpstream"
	CauseUpstreamsFull    Cause = "upstreamsFull"
	CauseUpstreamLimit    Cause = "upstreamLimit"
	CauseEvacuated        Cause = "evacuated"
	CauseQuota            Cause = "quota"
	CauseQueueFull        Cause = "queueFull"
	CauseDeadline         Cause = "deadline"
	CauseCallerGone       Cause = "callerGone"
	CauseRequestTooLarge  Cause = "requestTooLarge"
	CauseMemoryFull       Cause = "memoryFull"
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
	CauseAPIKeyMissing    Cause = "apiKeyMissing"
	CauseAPIKeyRepeated   Cause = "apiKeyRepeated"
	CauseAPIKeyUnknown    Cause = "apiKeyUnknown"
	CauseAPIKeyWithdrawn  Cause = "apiKeyWithdrawn"
	CauseUnconfirmed      Cause = "configurationUnconfirmed"
	CauseShutdown         Cause = "shutdown"
)

// Ran is what the balancer knows about whether an upstream ran a request.
type Ran string

// The values of Ran.
const (
	// RanNo means that no upstream has run or will run the request.
	RanNo Ran = "no"
	// RanYes means that an upstream has run the request and sent a response.
	RanYes Ran = "yes"
	// RanUnknown means that an upstream may have run the request.
	RanUnknown Ran = "unknown"
)

// Decision is a decision about a request or an upstream, with the setting or condition that caused it. It is immutable.
type Decision struct {
	at        time.Time
	request   string
	service   string
	upstream  string
	cause     Cause
	setting   Setting
	condition string
}

// NewDecision returns a decision about a service. The request is empty if the decision is not about a single request.
func NewDecision(at time.Time, request, service string, cause Cause) Decision {
	return Decision{at: at, request: request, service: service, cause: cause}
}

// WithUpstream returns a copy of d with the name of the upstream concerned.
func (d Decision) WithUpstream(upstream string) Decision {
	d.upstream = upstream
	return d
}

// WithSetting returns a copy of d with the setting that caused it.
func (d Decision) WithSetting(setting Setting) Decision {
	d.setting = setting
	return d
}

// WithCondition returns a copy of d with a description of the condition that caused it.
func (d Decision) WithCondition(condition string) Decision {
	d.condition = condition
	return d
}

// At returns the time of the decision.
func (d Decision) At() time.Time { return d.at }

// Request returns the ID of the request concerned, or "".
func (d Decision) Request() string { return d.request }

// Service returns the name of the service concerned.
func (d Decision) Service() string { return d.service }

// Upstream returns the name of the upstream concerned, or "".
func (d Decision) Upstream() string { return d.upstream }

// Cause returns the cause of the decision.
func (d Decision) Cause() Cause { return d.cause }

// Setting returns the setting that caused the decision, or the zero value.
func (d Decision) Setting() Setting { return d.setting }

// Condition returns the condition that caused the decision, or "".
func (d Decision) Condition() string { return d.condition }

// Setting identifies one value in an accepted service file. It is immutable.
type Setting struct {
	path     string
	value    string
	file     string
	line     int
	revision string
	author   string
}

// NewSetting returns the setting at a path, with its value, in a line of a file.
func NewSetting(path, value, file string, line int) Setting {
	return Setting{path: path, value: value, file: file, line: line}
}

// WithRevision returns a copy of s with the revision that published it and the author of the revision.
func (s Setting) WithRevision(revision, author string) Setting {
	s.revision = revision
	s.author = author
	return s
}

// Path returns the path of the field in the file.
func (s Setting) Path() string { return s.path }

// Value returns the value of the field as text.
func (s Setting) Value() string { return s.value }

// File returns the path of the service file.
func (s Setting) File() string { return s.file }

// Line returns the line number in the file, or 0 for a default value.
func (s Setting) Line() int { return s.line }

// Revision returns the published revision.
func (s Setting) Revision() string { return s.revision }

// Author returns the author of the revision.
func (s Setting) Author() string { return s.author }
