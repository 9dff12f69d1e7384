// Package cvlease decides how long a balancer may trust its configuration without knowing a newer one.
//
// The load it handles: an operator withdraws an API key, and a balancer that is cut off, was paused, has just started or
// reads a restored log must not serve requests with that key for longer than a bound. So the balancer keeps the latest
// moment at which its configuration was known to be the newest, and the lease expires a term after that.
//
// All times are of the balancer's boot clock.
package cvlease

import "time"

const (
	// readAtOnceShare is the share of the term after which the next read of the log doesn't wait for records, so that it
	// proves at once: with a reader's usual cycle, a proof at the start of a read is younger.
	readAtOnceShare = 0.4
	// deputyReadShare is the share of the term after which the deputy of the reader reads too. Without failures, proofs get
	// to 0.6 of the term, and a lost message adds a tenth. The rest leaves time for the read and for telling the others.
	deputyReadShare = 0.7
	// ownReadShare is the share of the term after which any balancer that gets no proofs from others reads the log itself.
	ownReadShare = 0.85
	// readIntervalShare is the minimum time between two reads that don't wait, as a share of the term: reads are paid for.
	readIntervalShare = 0.2
	// settleTime is how long a balancer hears others before it takes a restored log for complete: all of them have told
	// their versions in three messages by then.
	settleTime = 1500 * time.Millisecond
	// maxAlone is how long a balancer that hears nobody mistrusts a restored log: longer than links are cut.
	maxAlone = 30 * time.Second
	// maxStep bounds the time that counts towards settleTime and maxAlone between two calls of Settle, as a process that
	// was paused heard nobody.
	maxStep = 200 * time.Millisecond
)

// Source is where a proof came from.
type Source string

// The sources of proofs.
const (
	// SourceRead is the balancer's own read of the log.
	SourceRead Source = "read"
	// SourcePeer is the statement of another balancer.
	SourcePeer Source = "peer"
)

// Lease holds the latest proof that the configuration in force was the newest. The zero value has none. It is not safe
// for concurrent use.
type Lease struct {
	confirmed   bool
	confirmedAt time.Duration
	source      Source
	// newest is the highest version that another balancer has reported.
	newest int64
	// readAt is the start of the last own read, if hasRead is set. held reports that this read does not count yet.
	readAt  time.Duration
	hasRead bool
	held    bool
	// era is the log's era of the last own read. doubtful reports that the log may lack records of an earlier era which
	// others have read. heardFor and aloneFor count the time since.
	era                int64
	doubtful           bool
	heardFor, aloneFor time.Duration
	settledAt          time.Duration
}

// ObserveVersion records the version of another balancer's configuration.
func (l *Lease) ObserveVersion(version int64) { l.newest = max(l.newest, version) }

// RecordRead records an own read of the log that began at start, reached the end of the log and whose records are
// applied. It counts with the next call of Settle, if nothing speaks against it.
func (l *Lease) RecordRead(start time.Duration, era int64) {
	if era < l.era {
		return
	}
	if era > l.era {
		l.era, l.doubtful, l.heardFor, l.aloneFor = era, true, 0, 0
	}
	if !l.hasRead || start > l.readAt {
		l.readAt, l.hasRead, l.held = start, true, true
	}
}

// Settle counts the last own read as a proof unless another balancer has reported a higher version than the one in
// force, or the log has been restored and others may know more. isolated reports that there are other balancers but none
// is heard of. Settle reports whether it has counted a read.
func (l *Lease) Settle(now time.Duration, inForce int64, isolated bool) bool {
	l.settleDoubt(now, isolated)
	if !l.held || l.doubtful || inForce <= 0 || inForce < l.newest {
		return false
	}
	l.held = false
	return l.confirm(now, l.readAt, SourceRead)
}

func (l *Lease) settleDoubt(now time.Duration, isolated bool) {
	step := min(max(now-l.settledAt, 0), maxStep)
	l.settledAt = now
	if !l.doubtful {
		return
	}
	if isolated {
		l.heardFor = 0
		l.aloneFor += step
	} else {
		l.heardFor += step
	}
	l.doubtful = l.heardFor < settleTime && l.aloneFor < maxAlone
}

// RecordStatement records that another balancer has stated its configuration, of version theirs, to have been the newest
// at the given moment. It reports whether the statement counts as a proof that is later than the last one.
func (l *Lease) RecordStatement(now, at time.Duration, theirs, inForce int64) bool {
	l.ObserveVersion(theirs)
	return inForce > 0 && theirs <= inForce && l.confirm(now, at, SourcePeer)
}

// confirm ignores a moment that has not come yet, which no correct clock shows.
func (l *Lease) confirm(now, at time.Duration, source Source) bool {
	if at > now || l.confirmed && at <= l.confirmedAt {
		return false
	}
	l.confirmed, l.confirmedAt, l.source = true, at, source
	return true
}

// Age returns the time since the configuration in force was last known to be the newest, or false if it never was.
func (l *Lease) Age(now time.Duration) (time.Duration, bool) { return now - l.confirmedAt, l.confirmed }

// Valid reports whether requests with API keys may be served.
func (l *Lease) Valid(now, term time.Duration) bool { return l.confirmed && now-l.confirmedAt < term }

// Source returns where the last proof came from.
func (l *Lease) Source() Source { return l.source }

// Held reports whether the last own read does not count as a proof yet, and the highest version that another balancer
// has reported.
func (l *Lease) Held() (held bool, newest int64) { return l.held, l.newest }

// ShouldReadAtOnce reports whether the next read of the log should return at once.
func (l *Lease) ShouldReadAtOnce(now, term time.Duration) bool {
	return l.olderThan(now, term, readAtOnceShare)
}

// ShouldRead reports whether this balancer should read the log although another one has this task. deputy is set for one
// balancer of each data centre, so that not all read when the reader gets no answer.
func (l *Lease) ShouldRead(now, term time.Duration, deputy bool) bool {
	if deputy {
		return l.olderThan(now, term, deputyReadShare)
	}
	return l.olderThan(now, term, ownReadShare)
}

func (l *Lease) olderThan(now, term time.Duration, share float64) bool {
	if l.hasRead && now-l.readAt < shareOf(term, readIntervalShare) {
		return false
	}
	return !l.confirmed || now-l.confirmedAt >= shareOf(term, share)
}

func shareOf(term time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(term))
}
