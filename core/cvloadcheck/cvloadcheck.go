// Package cvloadcheck decides whether an upstream is asked for its load right before a request is sent to it.
//
// The load it answers: many balancers share upstreams whose machines change their speed several times a second, and each
// of them sends only a few requests a second. What a balancer knows of an upstream when it chooses it is then mostly what
// others reported some time ago, and a third of the choices fall on a machine that has become slow meanwhile. A check
// takes about as long as a connection and saves a request from three times its work. While requests wait, nobody
// checks: a free slot is worth more than knowing how fast it is.
package cvloadcheck

import "time"

const (
	// MaxChecks is the maximum number of checks for one request.
	MaxChecks = 2
	// Timeout bounds the time of one check. A machine in the same data centre responds within a few milliseconds; later,
	// the request has lost more than a better choice could gain.
	Timeout = 15 * time.Millisecond
	// freshAge is the age up to which a report is as good as a new one: machines keep their speed for some hundred
	// milliseconds.
	freshAge = 25 * time.Millisecond
	// budgetBurst is the time whose checks may be made at once.
	budgetBurst = time.Second
)

// Choice is what is known of an upstream that was chosen for a request. It is immutable.
type Choice struct {
	near      bool
	limited   bool
	waiting   int
	reportAge time.Duration
	timeLeft  time.Duration
}

// NewChoice returns a choice. near is set for an upstream in the balancer's data centre, and limited for one that limits
// its requests. waiting is the number of requests that wait for a slot, reportAge the age of the upstream's last report,
// and timeLeft the time for which the request could still be delayed and be on time.
func NewChoice(near, limited bool, waiting int, reportAge, timeLeft time.Duration) Choice {
	return Choice{near: near, limited: limited, waiting: waiting, reportAge: reportAge, timeLeft: timeLeft}
}

// Budget bounds the checks of one balancer. The zero value allows none. It is not safe for concurrent use.
type Budget struct {
	tokens    float64
	updatedAt time.Time
}

// Allow reports whether the upstream is worth a check, and takes the check off the budget. perSecond is the number of
// checks a second that all upstreams allow this balancer.
func (b *Budget) Allow(now time.Time, perSecond float64, c Choice) bool {
	size := perSecond * budgetBurst.Seconds()
	if b.updatedAt.IsZero() {
		b.tokens = size
	} else if passed := now.Sub(b.updatedAt); passed > 0 {
		b.tokens = min(b.tokens+perSecond*passed.Seconds(), size)
	}
	b.updatedAt = now
	if !c.worthwhile() || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// worthwhile reports whether a new report could lead to a better choice in time.
func (c Choice) worthwhile() bool {
	return c.near && !c.limited && c.waiting == 0 && c.reportAge > freshAge && c.timeLeft > Timeout
}
