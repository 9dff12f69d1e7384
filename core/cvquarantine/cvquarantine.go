// Package cvquarantine is the decision which requests are refused because upstreams died of them.
package cvquarantine

import (
	"fmt"
	"slices"
	"strings"
	"time"
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

// Died notes that an upstream died while it ran a request. It returns whether the request is now quarantined, and was not before.
func (q *Quarantine) Died(now time.Time, fingerprint, upstream string, quarantineTime time.Duration) bool {
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

// Cleared notes that a request ran to its end; deaths beside it were not its doing.
// It returns whether the request was a suspect.
func (q *Quarantine) Cleared(now time.Time, fingerprint string) bool {
	s := q.suspects[fingerprint]
	if s == nil || now.Before(s.until) {
		return false
	}
	delete(q.suspects, fingerprint)
	return true
}

// Suspect says whether an upstream died of a request lately.
func (q *Quarantine) Suspect(fingerprint string) bool { return q.suspects[fingerprint] != nil }

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

// Len is the number of requests that are suspects or quarantined.
func (q *Quarantine) Len() int { return len(q.suspects) }

// Expire forgets what is old.
func (q *Quarantine) Expire(now time.Time) {
	for fingerprint, s := range q.suspects {
		if !now.Before(s.until) && now.Sub(s.last) > suspicionLife {
			delete(q.suspects, fingerprint)
		}
	}
}
