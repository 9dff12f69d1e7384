// Package cvshareddirectory is a directory that few balancers read for all: the others take its records from those.
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

// lookTime is the time between two looks whether a reader is ahead: a tenth of the time in which a change must be in force,
// beside the reader's own pause and its message's way.
const lookTime = 100 * time.Millisecond

// overdueLooks is how many looks in a row find another balancer ahead before a read counts as lost: longer than the
// platform's answer to two balancers may differ, and short beside the time in which a change must be in force.
const overdueLooks = 4

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

// Directory follows the platform's directory itself, or through another balancer that does.
type Directory struct {
	// Source is the platform's directory.
	Source comfreyvale.Directory
	// IsReader says whether this balancer is one of those that read for all.
	IsReader func(now time.Time) bool
	// Ahead is a balancer that has read past an offset, or empty; covered says that some balancer reads.
	Ahead func(now time.Time, from int64) (address string, covered bool)
	// Fetch returns the records from an offset on that another balancer keeps.
	Fetch func(ctx context.Context, address string, from int64) (comfreyvale.Changes, error)
	// OnRead is told how each read of the platform's directory itself ended, without an error when it was answered.
	OnRead func(now time.Time, err error)
	// Logger takes a line when another balancer's records cannot be had.
	Logger log.Interface
}

// Newest returns the newest record of each key, from the platform.
func (d *Directory) Newest(ctx context.Context) (comfreyvale.Changes, error) {
	changes, err := d.Source.Newest(ctx)
	d.tried(ctx, err)
	return changes, err
}

// tried tells how a read of the platform's directory ended. An answer that records are gone is an answer; a read that ended
// with the process says nothing.
func (d *Directory) tried(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if cvfault.KindOf(err) == comfreyvale.KindNotFound {
		err = nil
	}
	d.OnRead(time.Now(), err)
}

// Follow returns the records from an offset on, waiting at most the given time for the first. While another balancer reads
// for this one, it waits for that one's news.
func (d *Directory) Follow(ctx context.Context, from int64, wait time.Duration) (comfreyvale.Changes, error) {
	for until := time.Now().Add(wait); ctx.Err() == nil; cvpause.For(ctx, lookTime) {
		now := time.Now()
		address, covered := d.Ahead(now, from)
		if d.IsReader(now) || !covered {
			break
		}
		if address != "" {
			if changes, ok := d.fetch(ctx, address, from); ok {
				return changes, nil
			}
			break
		}
		if !now.Before(until) {
			return comfreyvale.NewChanges(nil, from), nil
		}
	}
	return d.followOwn(ctx, from, wait)
}

// fetch returns another balancer's records, if they can be had.
func (d *Directory) fetch(ctx context.Context, address string, from int64) (comfreyvale.Changes, bool) {
	changes, err := d.Fetch(ctx, address, from)
	if err != nil {
		d.Logger.WithFields(log.Fields{"directory": d.String(), "peer": address, "from": from}).WithError(err).Info("peer's records cannot be had")
	}
	return changes, err == nil
}

// answer is how a read of the platform's directory ended.
type answer struct {
	changes comfreyvale.Changes
	err     error
}

// followOwn reads the platform's directory, and gives a read up whose answer other balancers have had for a time.
func (d *Directory) followOwn(ctx context.Context, from int64, wait time.Duration) (comfreyvale.Changes, error) {
	reading, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, 1)
	go func() {
		changes, err := d.Source.Follow(reading, from, wait)
		answers <- answer{changes, err}
	}()
	ticker := time.NewTicker(lookTime)
	defer ticker.Stop()
	for behind := 0; ; {
		select {
		case a := <-answers:
			d.tried(ctx, a.err)
			return a.changes, a.err
		case now := <-ticker.C:
			address, _ := d.Ahead(now, from)
			if address == "" {
				behind = 0
				continue
			}
			if behind++; behind < overdueLooks {
				continue
			}
			if changes, ok := d.fetch(ctx, address, from); ok {
				d.overdue(ctx, address, from)
				return changes, nil
			}
			behind = 0
		}
	}
}

// overdue notes that the platform's directory left out an answer that another balancer has had.
func (d *Directory) overdue(ctx context.Context, peer string, from int64) {
	err := fault{cvfault.New("follow", comfreyvale.KindTimeout, errors.New("another balancer has had the answer for some time"))}
	d.Logger.WithFields(log.Fields{"directory": d.String(), "peer": peer, "from": from}).WithError(err).Info("read given up, the peer's records are taken")
	d.tried(ctx, err)
}

// String names the directory.
func (d *Directory) String() string { return d.Source.String() }
