// Package cvnamedlimit keeps the request limit that an upstream names in its answers.
//
// An upstream that is short of resources names how many requests a second it takes from all balancers together. The
// load it answers: several balancers read answers of the same upstream, at slightly different times and out of order,
// and the figure may differ from one answer to the next. So the lowest figure of the last second is in force.
package cvnamedlimit

import "time"

// raiseDelay is how long a limit stays in force after it was last named, when later answers name a higher one or none:
// answers arrive out of order, and a figure that alternates must not be in force at its peaks only.
const raiseDelay = time.Second

// Limit is the limit that one run of an upstream names. The zero value is for an upstream that has named none. It is not
// safe for concurrent use.
type Limit struct {
	perSecond float64
	// statedAt is when the figure in force, or the lack of one, was last stated.
	statedAt time.Time
	source   string
}

// Record records a statement of the upstream: perSecond is the limit that it named at the given time, or 0 if it named
// none. source is the balancer that told, or empty for an answer that this balancer received. It reports whether the
// limit in force has changed.
func (l *Limit) Record(at time.Time, perSecond float64, source string) bool {
	known := l.perSecond > 0
	switch {
	case !known && perSecond <= 0:
		return false
	case known && !l.lowers(perSecond) && at.Sub(l.statedAt) < raiseDelay:
		return false
	case !known && at.Before(l.statedAt):
		return false
	}
	changed := perSecond != l.perSecond
	if changed || at.After(l.statedAt) {
		l.source = source
	}
	l.perSecond = perSecond
	if at.After(l.statedAt) {
		l.statedAt = at
	}
	return changed
}

// lowers reports whether a statement is at least as strict as the limit in force.
func (l *Limit) lowers(perSecond float64) bool { return perSecond > 0 && perSecond <= l.perSecond }

// PerSecond returns the requests a second that the upstream takes from all balancers together, 0 for no limit.
func (l *Limit) PerSecond() float64 { return l.perSecond }

// StatedAt returns when the limit in force, or the lack of one, was last stated, or the zero time.
func (l *Limit) StatedAt() time.Time { return l.statedAt }

// Source returns the balancer that told of the limit, or an empty string if this balancer learned it from an answer.
func (l *Limit) Source() string { return l.source }
