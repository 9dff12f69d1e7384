// Package cvwatch implements a watch that follows the changes of a directory of the platform with few reads.
package cvwatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/io/balancers/cvpause"
)

const (
	// unreachableAfterFailures is how many failed reads in a row make the directory count as unreachable. The service may
	// have lost a single read.
	unreachableAfterFailures = 2
	// minBackoff and maxBackoff bound the backoff between failed reads. maxBackoff is below the time within which a VM
	// that reaches the directory again must have read it.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 1200 * time.Millisecond
)

type fault struct{ cvfault.Fault }

// Watch reads one directory continuously and reports its changes.
type Watch struct {
	// Directory is the directory to follow.
	Directory comfreyvale.Directory
	// Wait is how long a read waits for a record. Pause is the pause after a successful read, in which further records
	// accumulate.
	Wait, Pause time.Duration
	// OnChange is called with the records of each successful read. If full is set, they are the complete content of the
	// directory: keys without a record no longer exist.
	OnChange func(now time.Time, full bool, changes comfreyvale.Changes)
	// OnReachability is called with true after each successful read, and with false when the directory becomes
	// unreachable.
	OnReachability func(now time.Time, ok bool)
	// Logger logs outages, and when the directory's history was lost.
	Logger log.Interface

	next         comfreyvale.Position
	synced       bool
	failures     int
	unreachable  bool
	failingSince time.Time
	backoff      time.Duration
}

// Run follows the directory until the context ends. It returns nil.
func (w *Watch) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := w.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		cvpause.For(ctx, w.recordResult(time.Now(), err))
	}
	return nil
}

// read performs one read and applies its records: the complete content at first and after lost history, else the
// changes since the last read.
func (w *Watch) read(ctx context.Context) error {
	if !w.synced {
		changes, err := w.Directory.Newest(ctx)
		if err != nil {
			return err
		}
		if changes.Next().Era() < w.next.Era() {
			return fault{cvfault.New("newest", comfreyvale.KindUnavailable, errors.Errorf("content of era %d is older than that of era %d", changes.Next().Era(), w.next.Era()))}
		}
		w.apply(changes, true)
		return nil
	}
	wait := w.Wait
	if w.failures > 0 {
		// The first read after a failure returns at once, to show whether the directory is reachable again.
		wait = 0
	}
	changes, err := w.Directory.Follow(ctx, w.next, wait)
	if cvfault.KindOf(err) == comfreyvale.KindNotFound {
		w.synced = false
		w.Logger.WithFields(log.Fields{"directory": w.Directory.String(), "from": w.next.Offset(), "era": w.next.Era()}).WithError(err).Warn("directory lost its history; reading the complete content")
		return nil
	}
	if err != nil {
		return err
	}
	w.apply(changes, false)
	return nil
}

func (w *Watch) apply(changes comfreyvale.Changes, full bool) {
	now := time.Now()
	w.OnReachability(now, true)
	w.next = changes.Next()
	w.synced = true
	w.OnChange(now, full, changes)
}

// recordResult returns the pause before the next read: an exponential backoff with jitter after a failure, none if the
// complete content has to be read next, else Pause.
func (w *Watch) recordResult(now time.Time, err error) time.Duration {
	if err == nil {
		if w.unreachable {
			w.Logger.WithField("directory", w.Directory.String()).WithField("awayMs", now.Sub(w.failingSince).Milliseconds()).Info("directory is reachable again")
		}
		w.unreachable = false
		w.failures = 0
		w.backoff = 0
		if !w.synced {
			return 0
		}
		return w.Pause
	}
	w.failures++
	if w.failures == 1 {
		w.failingSince = now
	}
	if w.failures >= unreachableAfterFailures && !w.unreachable {
		w.unreachable = true
		w.OnReachability(now, false)
		w.Logger.WithField("directory", w.Directory.String()).WithError(err).Warn("directory is unreachable")
	}
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	return w.backoff/2 + rand.N(w.backoff/2)
}
