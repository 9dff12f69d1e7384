// Package cvquarantine is the decision which requests are refused because upstreams died of them.
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
	// convictingDeaths is how many upstreams must have died of a request.
	convictingDeaths = 2
	// sameDeath is the time within which two reports of an upstream's death are about one death.
	sameDeath = time.Second
	// suspicionLife is how long one death is remembered.
	suspicionLife = 5 * time.Minute
)

// Quarantine keeps the deaths of upstreams by the requests that were in flight on them. It is not safe for concurrent use.
type Quarantine struct {
	suspects map[string]*suspect
}

type suspect struct {
	deaths []string
	last   time.Time
	until  time.Time
}

// RecordCrash notes that an upstream died while it ran a request. It returns whether the request is now quarantined, and was not before.
func (q *Quarantine) RecordCrash(now time.Time, fingerprint, upstream string, quarantineTime time.Duration) bool {
	if q.suspects == nil {
		q.suspects = make(map[string]*suspect)
	}
	s := q.suspects[fingerprint]
	if s == nil {
		s = &suspect{}
		q.suspects[fingerprint] = s
	}
	if !slices.Contains(s.deaths, upstream) || now.Sub(s.last) > sameDeath {
		s.deaths = append(s.deaths, upstream)
	}
	s.last = now
	convicted := len(s.deaths) >= convictingDeaths && !now.Before(s.until)
	if convicted {
		s.until = now.Add(quarantineTime)
	}
	return convicted
}

// RecordCompletion notes that a request ran to its end; deaths beside it were not its doing.
// It returns whether the request was a suspect.
func (q *Quarantine) RecordCompletion(now time.Time, fingerprint string) bool {
	s := q.suspects[fingerprint]
	if s == nil || len(s.deaths) == 0 || now.Before(s.until) {
		return false
	}
	// What remains keeps the places of the others.
	s.deaths = nil
	return true
}

// Suspect says whether an upstream died of a request lately.
func (q *Quarantine) Suspect(fingerprint string) bool {
	s := q.suspects[fingerprint]
	return s != nil && len(s.deaths) > 0
}

// AssignUpstream returns the one of the upstreams that runs a suspect's next try, or an empty string without a choice. Requests that
// were in flight on one crashed upstream get different ones while there are enough, so that a second crash convicts only
// the request that caused it. Balancers that know of the same deaths place alike.
func (q *Quarantine) AssignUpstream(fingerprint string, upstreams []string) string {
	if len(upstreams) == 0 {
		return ""
	}
	var left []string
	for _, other := range q.together(fingerprint) {
		if len(left) == 0 {
			left = slices.Clone(upstreams)
		}
		best := slices.MaxFunc(left, func(a, b string) int { return cmp.Compare(cvhash.Pair(other, a), cvhash.Pair(other, b)) })
		if other == fingerprint {
			return best
		}
		left = slices.DeleteFunc(left, func(u string) bool { return u == best })
	}
	return ""
}

// together returns, in order, a suspect and the requests whose last death may have been the same. Those that were convicted
// or cleared since are among them, so that the others' places stay.
func (q *Quarantine) together(fingerprint string) []string {
	own := q.suspects[fingerprint]
	if own == nil {
		return nil
	}
	var found []string
	for other, s := range q.suspects {
		if s.last.Sub(own.last).Abs() <= sameDeath {
			found = append(found, other)
		}
	}
	slices.Sort(found)
	return found
}

// Quarantined says whether a request must be refused, with the evidence.
func (q *Quarantine) Quarantined(now time.Time, fingerprint string) (string, bool) {
	s := q.suspects[fingerprint]
	if s == nil || !now.Before(s.until) {
		return "", false
	}
	return fmt.Sprintf("upstreams %s died while they ran request %s; refused for another %s",
		strings.Join(s.deaths, ", "), fingerprint, s.until.Sub(now).Round(time.Second)), true
}

// Lift ends a quarantine and returns whether there was one.
func (q *Quarantine) Lift(now time.Time, fingerprint string) bool {
	_, quarantined := q.Quarantined(now, fingerprint)
	delete(q.suspects, fingerprint)
	return quarantined
}

// List are the fingerprints that are refused, in order.
func (q *Quarantine) List(now time.Time) []string {
	var found []string
	for fingerprint, s := range q.suspects {
		if now.Before(s.until) {
			found = append(found, fingerprint)
		}
	}
	slices.Sort(found)
	return found
}

// Len is the number of requests that are suspects or quarantined, or were suspects a moment ago.
func (q *Quarantine) Len() int { return len(q.suspects) }

// Expire forgets what is old.
func (q *Quarantine) Expire(now time.Time) {
	for fingerprint, s := range q.suspects {
		life := suspicionLife
		if len(s.deaths) == 0 {
			life = sameDeath
		}
		if !now.Before(s.until) && now.Sub(s.last) > life {
			delete(q.suspects, fingerprint)
		}
	}
}
