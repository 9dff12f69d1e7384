// Package cvwatch follows a directory of the platform with few calls.
package cvwatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/io/balancers/cvpause"
)

const (
	// lostFailures is how many readings in a row must fail before the directory counts as out of reach: one may be a
	// read that the service forgot.
	lostFailures = 2
	// firstBackoff and lastBackoff are the pauses between failed readings. The last is below the time by which a VM that
	// reaches the directory again must have read it.
	firstBackoff = 150 * time.Millisecond
	lastBackoff  = 1200 * time.Millisecond
)

// Watch reads one directory for ever and tells what changed.
type Watch struct {
	// Directory is what is read.
	Directory comfreyvale.Directory
	// Wait is how long a read waits for a record, and Pause the pause after a reading, in which further records gather.
	Wait, Pause time.Duration
	// OnChange takes records; whole says that keys which are not among them are gone.
	OnChange func(now time.Time, whole bool, changes comfreyvale.Changes)
	// OnReachability is told after each reading that succeeded, and when the directory is out of reach.
	OnReachability func(now time.Time, ok bool)
	// Logger takes a line when the directory is lost and when it is back.
	Logger log.Interface

	next    int64
	known   bool
	failed  int
	away    bool
	since   time.Time
	backoff time.Duration
}

// Run follows the directory until the context ends.
func (w *Watch) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := w.read(ctx)
		if ctx.Err() != nil {
			return nil
		}
		cvpause.For(ctx, w.noted(time.Now(), err))
	}
	return nil
}

// read takes in one reading: everything at first and after lost history, else what is new.
func (w *Watch) read(ctx context.Context) error {
	if !w.known {
		changes, err := w.Directory.Newest(ctx)
		if err != nil {
			return err
		}
		w.take(changes, true)
		return nil
	}
	wait := w.Wait
	if w.failed > 0 {
		// The first read after an outage only has to show that the directory is back.
		wait = 0
	}
	changes, err := w.Directory.Follow(ctx, w.next, wait)
	if cvfault.KindOf(err) == comfreyvale.KindNotFound {
		w.known = false
		w.Logger.WithField("directory", w.Directory.String()).WithField("from", w.next).Warn("history lost, reading everything")
		return nil
	}
	if err != nil {
		return err
	}
	w.take(changes, false)
	return nil
}

func (w *Watch) take(changes comfreyvale.Changes, whole bool) {
	now := time.Now()
	w.OnReachability(now, true)
	w.next = changes.Next()
	w.known = true
	w.OnChange(now, whole, changes)
}

// noted keeps account of success and failure, and returns the pause before the next reading.
func (w *Watch) noted(now time.Time, err error) time.Duration {
	if err == nil {
		if w.away {
			w.Logger.WithField("directory", w.Directory.String()).WithField("awayMs", now.Sub(w.since).Milliseconds()).Info("directory is back")
		}
		w.away = false
		w.failed = 0
		w.backoff = 0
		if !w.known {
			return 0
		}
		return w.Pause
	}
	w.failed++
	if w.failed == 1 {
		w.since = now
	}
	if w.failed >= lostFailures && !w.away {
		w.away = true
		w.OnReachability(now, false)
		w.Logger.WithField("directory", w.Directory.String()).WithError(err).Warn("directory is out of reach")
	}
	w.backoff = min(max(2*w.backoff, firstBackoff), lastBackoff)
	return w.backoff/2 + rand.N(w.backoff/2)
}
