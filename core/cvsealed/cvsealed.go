// Package cvsealed is what a closed journal holds.
package cvsealed

import (
	"time"

	"comfreyvale/core/cvwire"
)

// Journal gathers the records of a journal up to its seal.
type Journal struct {
	claims    []*cvwire.Claim
	sealed    bool
	truncated bool
	oldest    time.Time
	longest   time.Duration
}

// MarkTruncated notes that the log no longer holds the journal's beginning.
func (s *Journal) MarkTruncated() { s.truncated = true }

// Sealed says whether the seal was met.
func (s *Journal) Sealed() bool { return s.sealed }

// Claims are the claims that count.
func (s *Journal) Claims() []*cvwire.Claim { return s.claims }

// LostUntil is the time until which keys may belong to claims that the log no longer holds, or the zero time for none.
// The incarnation departed at the given time; fallback is the longest window that its claims can have had.
func (s *Journal) LostUntil(departed time.Time, fallback time.Duration) time.Time {
	if !s.truncated {
		return time.Time{}
	}
	if s.oldest.IsZero() {
		return departed.Add(fallback)
	}
	return s.oldest.Add(s.longest)
}

// Add takes in a record and returns whether it is the seal.
func (s *Journal) Add(record *cvwire.JournalRecord) bool {
	if record.GetSealedBy() != "" {
		s.sealed = true
		return true
	}
	s.claims = append(s.claims, record.GetClaims()...)
	s.longest = max(s.longest, time.Duration(record.GetLongestWindowMs())*time.Millisecond)
	if s.oldest.IsZero() && len(record.GetClaims()) > 0 {
		s.oldest = time.UnixMilli(record.GetClaims()[0].GetAtUnixMs())
	}
	return false
}
