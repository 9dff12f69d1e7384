// Package cvsealed provides the claims of a sealed journal.
package cvsealed

import (
	"time"

	"comfreyvale/core/cvwire"
)

// Sealed collects the records of a journal up to its seal. It is not safe for concurrent use.
type Sealed struct {
	claims        []*cvwire.Claim
	sealed        bool
	truncated     bool
	firstClaimAt  time.Time
	longestWindow time.Duration
}

// Truncate notes that the log no longer keeps the first records of the journal.
func (s *Sealed) Truncate() { s.truncated = true }

// Closed reports whether the seal was added.
func (s *Sealed) Closed() bool { return s.sealed }

// Claims returns the claims of all records ahead of the seal, in the order of the records.
func (s *Sealed) Claims() []*cvwire.Claim { return s.claims }

// LostUntil returns the time at which the windows of all claims that the log no longer keeps have passed, or the zero time
// if the log keeps the complete journal. Departed is when the incarnation left the roster. Fallback is the longest possible
// window of a claim, which is used if the log keeps no claim of the journal.
func (s *Sealed) LostUntil(departed time.Time, fallback time.Duration) time.Time {
	if !s.truncated {
		return time.Time{}
	}
	if s.firstClaimAt.IsZero() {
		return departed.Add(fallback)
	}
	return s.firstClaimAt.Add(s.longestWindow)
}

// Add adds the next record and returns whether it is the seal. The caller must not add records behind the seal.
func (s *Sealed) Add(record *cvwire.JournalRecord) bool {
	if record.GetSealedBy() != "" {
		s.sealed = true
		return true
	}
	s.claims = append(s.claims, record.GetClaims()...)
	s.longestWindow = max(s.longestWindow, time.Duration(record.GetLongestWindowMs())*time.Millisecond)
	if s.firstClaimAt.IsZero() && len(record.GetClaims()) > 0 {
		s.firstClaimAt = time.UnixMilli(record.GetClaims()[0].GetAtUnixMs())
	}
	return false
}
