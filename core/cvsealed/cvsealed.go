// Package cvsealed provides the claims of a sealed journal.
package cvsealed

import (
	"time"

	"comfreyvale/core/cvwire"
)

// Journal collects the records of a journal up to its seal. It is not safe for concurrent use.
type Journal struct {
	claims    []*cvwire.Claim
	sealed    bool
	truncated bool
	// firstClaimAt is the time of the first claim that is not the release of an earlier one, whose time says nothing about
	// the claims before it.
	firstClaimAt  time.Time
	longestWindow time.Duration
}

// MarkTruncated notes that the log no longer keeps the first records of the journal.
func (j *Journal) MarkTruncated() { j.truncated = true }

// Sealed reports whether the seal was added.
func (j *Journal) Sealed() bool { return j.sealed }

// Claims returns the claims of all records before the seal, in the order of the records.
func (j *Journal) Claims() []*cvwire.Claim { return j.claims }

// LostUntil returns when the windows of all claims that the log no longer keeps have passed, or the zero time if the
// journal is complete. It is the time of the first claim that is left plus the longest window that the records name. If
// no claim is left, it is the time departed, at which the incarnation left the roster, plus fallback.
func (j *Journal) LostUntil(departed time.Time, fallback time.Duration) time.Time {
	if !j.truncated {
		return time.Time{}
	}
	if j.firstClaimAt.IsZero() {
		return departed.Add(fallback)
	}
	return j.firstClaimAt.Add(j.longestWindow)
}

// Add adds the next record and returns whether it is the seal. Records after the seal are not valid and must not be
// added.
func (j *Journal) Add(record *cvwire.JournalRecord) bool {
	if record.GetSealedBy() != "" {
		j.sealed = true
		return true
	}
	j.claims = append(j.claims, record.GetClaims()...)
	j.longestWindow = max(j.longestWindow, time.Duration(record.GetLongestWindowMs())*time.Millisecond)
	if j.firstClaimAt.IsZero() {
		j.firstClaimAt = firstTime(record.GetClaims())
	}
	return false
}

// firstTime returns the time of the first claim that is not a release, or the zero time.
func firstTime(claims []*cvwire.Claim) time.Time {
	for _, c := range claims {
		if !c.GetReleased() {
			return time.UnixMilli(c.GetAtUnixMs())
		}
	}
	return time.Time{}
}
