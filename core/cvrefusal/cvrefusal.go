// Package cvrefusal defines why a request got no response from an upstream.
package cvrefusal

import (
	"net/http"
	"time"

	"comfreyvale"
)

const (
	// statusClientClosedRequest is the status of a request whose caller has closed the connection. No caller receives
	// it.
	statusClientClosedRequest = 499
	// retryDelay is the value of Retry-After for refusals whose cause can disappear within a short time.
	retryDelay = time.Second
)

// Refusal describes why a request was refused and what is known about whether an upstream ran it.
type Refusal struct {
	cause     comfreyvale.Cause
	ran       comfreyvale.Ran
	setting   comfreyvale.Setting
	condition string
	upstream  string
}

// New returns a refusal whose condition is the evidence in words.
func New(cause comfreyvale.Cause, ran comfreyvale.Ran, condition string) *Refusal {
	return &Refusal{cause: cause, ran: ran, condition: condition}
}

// WithSetting sets the setting that led to the refusal and returns r.
func (r *Refusal) WithSetting(setting comfreyvale.Setting) *Refusal {
	r.setting = setting
	return r
}

// WithUpstream sets the upstream of the last attempt and returns r.
func (r *Refusal) WithUpstream(upstream string) *Refusal {
	r.upstream = upstream
	return r
}

// Cause returns the cause of the refusal.
func (r *Refusal) Cause() comfreyvale.Cause { return r.cause }

// Ran returns what is known about whether an upstream ran the request.
func (r *Refusal) Ran() comfreyvale.Ran { return r.ran }

// Setting returns the setting that led to the refusal, or the zero value.
func (r *Refusal) Setting() comfreyvale.Setting { return r.setting }

// Condition returns the evidence for the refusal in words.
func (r *Refusal) Condition() string { return r.condition }

// Upstream returns the name of the upstream of the last attempt, or "" if there was none.
func (r *Refusal) Upstream() string { return r.upstream }

// Status returns the HTTP status of the refusal.
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
		return statusClientClosedRequest
	case comfreyvale.CauseShutdown:
		if r.ran != comfreyvale.RanNo {
			return http.StatusBadGateway
		}
		return http.StatusServiceUnavailable
	case comfreyvale.CauseUpstreamBroke, comfreyvale.CauseAnswerUnframed, comfreyvale.CauseClaimHolderGone:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// RetryAfter returns the time after which the caller may retry, or 0 if a retry is of no use.
func (r *Refusal) RetryAfter() time.Duration {
	if r.Status() == http.StatusServiceUnavailable || r.cause == comfreyvale.CauseInProgress {
		return retryDelay
	}
	return 0
}
