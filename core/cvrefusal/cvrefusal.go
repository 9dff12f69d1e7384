// Package cvrefusal is why a call got no answer from an upstream.
package cvrefusal

import (
	"net/http"
	"time"

	"comfreyvale"
)

const (
	// statusCallerGone is logged for callers that went away; nobody reads it.
	statusCallerGone = 499
	// retrySoon is the time after which a refused caller may try again.
	retrySoon = time.Second
)

// Refusal names the cause, what is known of whether the request ran, and the setting or condition at fault.
type Refusal struct {
	cause     comfreyvale.Cause
	ran       comfreyvale.Ran
	setting   comfreyvale.Setting
	condition string
	upstream  string
}

// New returns a refusal.
func New(cause comfreyvale.Cause, ran comfreyvale.Ran, condition string) *Refusal {
	return &Refusal{cause: cause, ran: ran, condition: condition}
}

// WithSetting returns the refusal with the setting that made it.
func (r *Refusal) WithSetting(setting comfreyvale.Setting) *Refusal {
	r.setting = setting
	return r
}

// WithUpstream returns the refusal with the last upstream that was tried.
func (r *Refusal) WithUpstream(upstream string) *Refusal {
	r.upstream = upstream
	return r
}

// Cause names the refusal's cause.
func (r *Refusal) Cause() comfreyvale.Cause { return r.cause }

// Ran says what is known of whether an upstream ran the request.
func (r *Refusal) Ran() comfreyvale.Ran { return r.ran }

// Setting is the setting that made the refusal, or the zero value.
func (r *Refusal) Setting() comfreyvale.Setting { return r.setting }

// Condition is the evidence in words.
func (r *Refusal) Condition() string { return r.condition }

// Upstream is the last upstream that was tried, or empty.
func (r *Refusal) Upstream() string { return r.upstream }

// Status is the HTTP status of the refusal.
func (r *Refusal) Status() int {
	switch r.cause {
	case comfreyvale.CauseNoService:
		return http.StatusNotFound
	case comfreyvale.CauseRequestTooLarge:
		return http.StatusRequestEntityTooLarge
	case comfreyvale.CauseRequestBroken, comfreyvale.CauseKeyRequired, comfreyvale.CauseUpgrade:
		return http.StatusBadRequest
	case comfreyvale.CauseKeyReused:
		return http.StatusUnprocessableEntity
	case comfreyvale.CauseInProgress:
		return http.StatusConflict
	case comfreyvale.CauseDeadline:
		return http.StatusGatewayTimeout
	case comfreyvale.CauseCallerGone:
		return statusCallerGone
	case comfreyvale.CauseUpstreamBroke, comfreyvale.CauseAnswerUnframed, comfreyvale.CauseClaimHolderGone:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// RetryAfter is the time after which the caller may try again, or 0 when trying again is no use.
func (r *Refusal) RetryAfter() time.Duration {
	if r.Status() == http.StatusServiceUnavailable || r.cause == comfreyvale.CauseInProgress {
		return retrySoon
	}
	return 0
}
