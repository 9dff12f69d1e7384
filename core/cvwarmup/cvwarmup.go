// Package cvwarmup keeps until when one run of an upstream is warming up.
//
// The load it handles: the upstream says how much longer it warms up in its entry, which arrives late, and in the
// responses to a few health checks. Each balancer learns of it from some of these and from other balancers, whose
// messages take some time too. As an upstream crashes if it gets too many requests too early, the latest time counts.
package cvwarmup

import "time"

// tolerance is how much later a statement of another balancer must be than the known one to count. Balancers that tell
// each other the same warm-up would otherwise add the delay of each message to it without end. A change that is smaller
// is not told.
const tolerance = 300 * time.Millisecond

// WarmUp is the warm-up of one run of an upstream. The zero value is for an upstream that is not warming up. It is not
// safe for concurrent use.
type WarmUp struct {
	until    time.Time
	statedAt time.Time
	source   string
	assumed  bool
}

// Extend records that the upstream is warming up until a time at least, and whose statement it is: a balancer's, or that
// of the upstream if source is empty. It reports whether that extends the warm-up by more than the delay of a message.
func (w *WarmUp) Extend(now, until time.Time, source string) bool {
	if !until.After(now) || !until.After(w.until) {
		return false
	}
	if until.Sub(w.until) <= tolerance {
		if source == "" {
			w.until = until
		}
		return false
	}
	*w = WarmUp{until: until, statedAt: now, source: source}
	return true
}

// Assume is like Extend for a warm-up that nobody has stated.
func (w *WarmUp) Assume(now, until time.Time, source string) bool {
	extended := w.Extend(now, until, source)
	w.assumed = w.assumed || extended
	return extended
}

// Answer records how long the upstream warms up by its response to a request that was sent at a time. If nothing was
// learned since, this may also shorten the warm-up. It reports whether the warm-up has changed.
func (w *WarmUp) Answer(now, sentAt, until time.Time) bool {
	if !w.Active(now) || !sentAt.After(w.statedAt) || until.After(w.until) {
		return w.Extend(now, until, "")
	}
	shortened := w.until.Sub(until) > tolerance
	*w = WarmUp{until: until, statedAt: now}
	return shortened
}

// Active reports whether the upstream is warming up.
func (w *WarmUp) Active(now time.Time) bool { return now.Before(w.until) }

// Until returns when the warm-up ends, or the zero time.
func (w *WarmUp) Until() time.Time { return w.until }

// StatedAt returns when the balancer learned of the warm-up, or the zero time.
func (w *WarmUp) StatedAt() time.Time { return w.statedAt }

// Source returns the balancer that told of the warm-up, or an empty string for the upstream itself.
func (w *WarmUp) Source() string { return w.source }

// Assumed reports whether nobody has stated the warm-up.
func (w *WarmUp) Assumed() bool { return w.assumed }
