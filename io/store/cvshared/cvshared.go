// Package cvshared is a directory that few balancers read for all: the others take its records from those.
package cvshared

import (
	"context"
	"time"

	"github.com/apex/log"

	"comfreyvale"
	"comfreyvale/io/balancers/cvpause"
)

// lookTime is the time between two looks whether a reader is ahead: a tenth of the time in which a change must be in force,
// beside the reader's own pause and its message's way.
const lookTime = 100 * time.Millisecond

// Directory follows the platform's directory itself, or through another balancer that does.
type Directory struct {
	// Own is the platform's directory.
	Own comfreyvale.Directory
	// Reader says whether this balancer is one of those that read for all.
	Reader func(now time.Time) bool
	// Ahead is a balancer that has read past an offset, or empty; covered says that some balancer reads.
	Ahead func(now time.Time, from int64) (address string, covered bool)
	// Fetch returns the records from an offset on that another balancer keeps.
	Fetch func(ctx context.Context, address string, from int64) (comfreyvale.Changes, error)
	// Read is told when the platform's directory itself was read.
	Read func(now time.Time)
	// Logger takes a line when another balancer's records cannot be had.
	Logger log.Interface
}

// Newest returns the newest record of each key, from the platform.
func (d *Directory) Newest(ctx context.Context) (comfreyvale.Changes, error) {
	changes, err := d.Own.Newest(ctx)
	if err == nil {
		d.Read(time.Now())
	}
	return changes, err
}

// Follow returns the records from an offset on, waiting at most the given time for the first. While another balancer reads
// for this one, it waits for that one's news.
func (d *Directory) Follow(ctx context.Context, from int64, wait time.Duration) (comfreyvale.Changes, error) {
	for until := time.Now().Add(wait); ctx.Err() == nil; cvpause.For(ctx, lookTime) {
		now := time.Now()
		address, covered := d.Ahead(now, from)
		if d.Reader(now) || !covered {
			break
		}
		if address != "" {
			changes, err := d.Fetch(ctx, address, from)
			if err == nil {
				return changes, nil
			}
			d.Logger.WithFields(log.Fields{"directory": d.String(), "peer": address, "from": from}).WithError(err).Info("peer's records cannot be had")
			break
		}
		if !now.Before(until) {
			return comfreyvale.NewChanges(nil, from), nil
		}
	}
	changes, err := d.Own.Follow(ctx, from, wait)
	if err == nil {
		d.Read(time.Now())
	}
	return changes, err
}

// String names the directory.
func (d *Directory) String() string { return d.Own.String() }
