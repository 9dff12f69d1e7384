// Package cvquarantine decides which requests are refused because upstreams crashed while they ran them.
package cvquarantine

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"comfreyvale/core/cvhash"
)

const (
	// minCrashes is how many crashes during a request quarantine it.
	minCrashes = 2
	// sameCrashWindow is the time within which two reports about an upstream count as the same crash.
	sameCrashWindow = time.Second
	// suspectLifetime is how long a single crash is remembered.
	suspectLifetime = 5 * time.Minute
)

// Quarantine records upstream crashes by the requests that were in flight on the upstream. It is not safe for
// concurrent use.
type Quarantine struct {
	// suspects is keyed by the fingerprint of the request.
	suspects map[string]*suspect
}

type suspect struct {
	crashedUpstreams []string
	lastCrash        time.Time
	quarantinedUntil time.Time
}

// RecordCrash records that an upstream crashed while it ran a request. It reports whether this newly quarantines the
// request.
func (q *Quarantine) RecordCrash(now time.Time, fingerprint, upstream string, quarantineTime time.Duration) bool {
	if q.suspects == nil {
		q.suspects = make(map[string]*suspect)
	}
	s := q.suspects[fingerprint]
	if s == nil {
		s = &suspect{}
		q.suspects[fingerprint] = s
	}
	if !slices.Contains(s.crashedUpstreams, upstream) || now.Sub(s.lastCrash) > sameCrashWindow {
		s.crashedUpstreams = append(s.crashedUpstreams, upstream)
	}
	s.lastCrash = now
	quarantined := len(s.crashedUpstreams) >= minCrashes && !now.Before(s.quarantinedUntil)
	if quarantined {
		s.quarantinedUntil = now.Add(quarantineTime)
	}
	return quarantined
}

// RecordCompletion clears a suspect whose request completed, because it then did not cause the earlier crashes. It
// reports whether there was one; a quarantined request is not cleared.
func (q *Quarantine) RecordCompletion(now time.Time, fingerprint string) bool {
	s := q.suspects[fingerprint]
	if s == nil || len(s.crashedUpstreams) == 0 || now.Before(s.quarantinedUntil) {
		return false
	}
	// The entry is kept without crashes, so that the upstreams assigned to the other suspects stay the same.
	s.crashedUpstreams = nil
	return true
}

// IsSuspect reports whether an upstream crashed recently while it ran the request, which has not completed since.
func (q *Quarantine) IsSuspect(fingerprint string) bool {
	s := q.suspects[fingerprint]
	return s != nil && len(s.crashedUpstreams) > 0
}

// AssignUpstream returns the upstream for a suspect's next attempt, or an empty string if there are no upstreams or the
// request is unknown. Suspects of the same crash get different upstreams while there are enough, so that a second crash
// quarantines only the request that caused it. Balancers that know of the same crashes assign the same upstreams.
func (q *Quarantine) AssignUpstream(fingerprint string, upstreams []string) string {
	if len(upstreams) == 0 {
		return ""
	}
	var free []string
	for _, other := range q.sameCrash(fingerprint) {
		if len(free) == 0 {
			free = slices.Clone(upstreams)
		}
		best := slices.MaxFunc(free, func(a, b string) int { return cmp.Compare(cvhash.Pair(other, a), cvhash.Pair(other, b)) })
		if other == fingerprint {
			return best
		}
		free = slices.DeleteFunc(free, func(u string) bool { return u == best })
	}
	return ""
}

// sameCrash returns, sorted, a suspect and the requests whose last crash may have been the same. It includes those
// quarantined or cleared since, so that the upstreams assigned to the others stay the same.
func (q *Quarantine) sameCrash(fingerprint string) []string {
	own := q.suspects[fingerprint]
	if own == nil {
		return nil
	}
	var found []string
	for other, s := range q.suspects {
		if s.lastCrash.Sub(own.lastCrash).Abs() <= sameCrashWindow {
			found = append(found, other)
		}
	}
	slices.Sort(found)
	return found
}

// Quarantined reports whether a request must be refused, and returns the evidence.
func (q *Quarantine) Quarantined(now time.Time, fingerprint string) (string, bool) {
	s := q.suspects[fingerprint]
	if s == nil || !now.Before(s.quarantinedUntil) {
		return "", false
	}
	return fmt.Sprintf("upstreams %s died while they ran request %s; refused for another %s",
		strings.Join(s.crashedUpstreams, ", "), fingerprint, s.quarantinedUntil.Sub(now).Round(time.Second)), true
}

// Lift ends a quarantine and reports whether there was one.
func (q *Quarantine) Lift(now time.Time, fingerprint string) bool {
	_, quarantined := q.Quarantined(now, fingerprint)
	delete(q.suspects, fingerprint)
	return quarantined
}

// List returns the sorted fingerprints of the quarantined requests.
func (q *Quarantine) List(now time.Time) []string {
	var found []string
	for fingerprint, s := range q.suspects {
		if now.Before(s.quarantinedUntil) {
			found = append(found, fingerprint)
		}
	}
	slices.Sort(found)
	return found
}

// Len returns the number of entries: suspects, quarantined requests and recently cleared requests.
func (q *Quarantine) Len() int { return len(q.suspects) }

// Expire removes outdated entries.
func (q *Quarantine) Expire(now time.Time) {
	for fingerprint, s := range q.suspects {
		lifetime := suspectLifetime
		if len(s.crashedUpstreams) == 0 {
			lifetime = sameCrashWindow
		}
		if !now.Before(s.quarantinedUntil) && now.Sub(s.lastCrash) > lifetime {
			delete(q.suspects, fingerprint)
		}
	}
}
