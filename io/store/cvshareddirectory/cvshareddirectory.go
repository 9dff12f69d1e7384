// Package cvshareddirectory implements a directory that few balancers read from the platform. The others fetch its
// records from them.
package cvshareddirectory

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/io/balancers/cvpause"
)

// checkInterval is the time between two checks whether another balancer has read further. It is a tenth of the time
// within which a change must take effect; the reader's pause and the delay of its message take up further parts of that
// time.
const checkInterval = 100 * time.Millisecond

// overdueChecks is how many checks in a row must find another balancer ahead before a read counts as lost: longer than
// the delay between the platform's responses to two balancers, and short compared to the time within which a change
// must take effect.
const overdueChecks = 4

type fault struct{ cvfault.Fault }

// Directory follows a directory of the platform by reading it or by fetching its records from another balancer. It is
// safe for concurrent use if its functions are.
type Directory struct {
	// Source is the directory of the platform.
	Source comfreyvale.Directory
	// IsReader reports whether this balancer is assigned to read the directory.
	IsReader func(now time.Time) bool
	// Ahead returns the address of a balancer that has read beyond a position, or "". readByPeer is true if another
	// balancer that is assigned to read the directory does so.
	Ahead func(now time.Time, from comfreyvale.Position) (address string, readByPeer bool)
	// Fetch returns the records, from a position on, that the balancer at an address keeps.
	Fetch func(ctx context.Context, address string, from comfreyvale.Position) (comfreyvale.Changes, error)
	// OnRead is called after each read from the platform whose context has not ended. The error is nil if the platform
	// answered.
	OnRead func(now time.Time, err error)
	// Clock returns the time that a read is marked with as its start. It may be nil; then reads are not marked.
	Clock func() time.Duration
	// ShouldReadAtOnce reports whether a read should not wait for records, and ShouldRead whether this balancer should read
	// although another one does. They may be nil, which means never.
	ShouldReadAtOnce, ShouldRead func() bool
	// OnEra is called with the era of each successful read from the platform.
	OnEra func(era int64)
	// Logger logs failed fetches from other balancers, and abandoned reads.
	Logger log.Interface
}

// Newest returns the newest record of each key. It always reads from the platform.
func (d *Directory) Newest(ctx context.Context) (comfreyvale.Changes, error) {
	start := d.now()
	changes, err := d.Source.Newest(ctx)
	if err == nil {
		d.OnEra(changes.Next().Era())
		changes = d.mark(changes, start)
	}
	d.reportRead(ctx, err)
	return changes, err
}

func (d *Directory) now() time.Duration {
	if d.Clock == nil {
		return 0
	}
	return d.Clock()
}

// mark adds the start of the read to its result.
func (d *Directory) mark(changes comfreyvale.Changes, start time.Duration) comfreyvale.Changes {
	if d.Clock == nil {
		return changes
	}
	return changes.WithStart(start)
}

// reportRead calls OnRead. KindNotFound counts as success, because the platform has answered. A read whose context has
// ended is not reported, because it shows nothing about the platform.
func (d *Directory) reportRead(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if cvfault.KindOf(err) == comfreyvale.KindNotFound {
		err = nil
	}
	d.OnRead(time.Now(), err)
}

// Follow returns the records from a position on. If there is none yet, it waits for one, but at most for the given time.
// It reads from the platform if this balancer is assigned to or should, or if no other one reads. Otherwise it waits until
// another balancer is ahead and fetches the records from that one or, if that fails, reads from the platform.
func (d *Directory) Follow(ctx context.Context, from comfreyvale.Position, wait time.Duration) (comfreyvale.Changes, error) {
	for deadline := time.Now().Add(wait); ctx.Err() == nil; cvpause.For(ctx, checkInterval) {
		now := time.Now()
		address, readByPeer := d.Ahead(now, from)
		if d.IsReader(now) || !readByPeer {
			break
		}
		if address != "" {
			if changes, ok := d.fetch(ctx, address, from); ok {
				return changes, nil
			}
			break
		}
		if d.ShouldRead != nil && d.ShouldRead() {
			break
		}
		if !now.Before(deadline) {
			return comfreyvale.NewChanges(nil, from), nil
		}
	}
	if d.ShouldReadAtOnce != nil && d.ShouldReadAtOnce() {
		wait = 0
	}
	return d.followSource(ctx, from, wait)
}

// fetch returns false if the records cannot be fetched from the other balancer.
func (d *Directory) fetch(ctx context.Context, address string, from comfreyvale.Position) (comfreyvale.Changes, bool) {
	changes, err := d.Fetch(ctx, address, from)
	if err != nil {
		d.Logger.WithFields(log.Fields{"directory": d.String(), "peer": address, "from": from.Offset(), "era": from.Era()}).WithError(err).Info("cannot fetch the records from the peer")
	}
	return changes, err == nil
}

type readResult struct {
	changes comfreyvale.Changes
	err     error
}

// followSource reads from the platform. If the read is still unanswered after overdueChecks checks in a row found
// another balancer ahead, it abandons the read and fetches the records from that balancer.
func (d *Directory) followSource(ctx context.Context, from comfreyvale.Position, wait time.Duration) (comfreyvale.Changes, error) {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan readResult, 1)
	start := d.now()
	go func() {
		changes, err := d.Source.Follow(readCtx, from, wait)
		results <- readResult{changes, err}
	}()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for behind := 0; ; {
		select {
		case r := <-results:
			if r.err == nil {
				d.OnEra(r.changes.Next().Era())
				r.changes = d.mark(r.changes, start)
			}
			d.reportRead(ctx, r.err)
			return r.changes, r.err
		case now := <-ticker.C:
			address, _ := d.Ahead(now, from)
			if address == "" {
				behind = 0
				continue
			}
			if behind++; behind < overdueChecks {
				continue
			}
			if changes, ok := d.fetch(ctx, address, from); ok {
				d.reportOverdue(ctx, address, from)
				return changes, nil
			}
			behind = 0
		}
	}
}

// reportOverdue reports a failed read: the platform has answered another balancer but not this one.
func (d *Directory) reportOverdue(ctx context.Context, peer string, from comfreyvale.Position) {
	err := fault{cvfault.New("follow", comfreyvale.KindTimeout, errors.New("the platform has not answered, but another balancer has the records"))}
	d.Logger.WithFields(log.Fields{"directory": d.String(), "peer": peer, "from": from.Offset(), "era": from.Era()}).WithError(err).Info("gave up an unanswered read; used the records of the peer")
	d.reportRead(ctx, err)
}

// String returns the name of the directory.
func (d *Directory) String() string { return d.Source.String() }
