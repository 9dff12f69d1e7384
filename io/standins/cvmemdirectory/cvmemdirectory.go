// Package cvmemdirectory implements a directory in memory for tests, with outages, lost history, restorations
// from an older copy and stalled reads.
package cvmemdirectory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
)

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(kind comfreyvale.Kind, text string) error {
	return fault{cvfault.New("read", kind, errors.New(text))}
}

// Directory holds the newest record of each key and all records since the last loss of history. It is safe for
// concurrent use.
type Directory struct {
	mu          sync.Mutex
	firstOffset int64
	records     []comfreyvale.Change
	newest      map[string]comfreyvale.Change
	changed     chan struct{}
	down        bool
	readCount   int
	era         int64
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{newest: make(map[string]comfreyvale.Change), changed: make(chan struct{})}
}

// Put writes a record. An empty value removes the key.
func (d *Directory) Put(key string, value []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := comfreyvale.NewChange(key, value, d.nextOffset())
	d.records = append(d.records, c)
	d.newest[key] = c
	if len(value) == 0 {
		delete(d.newest, key)
	}
	d.notify()
}

func (d *Directory) nextOffset() int64 { return d.firstOffset + int64(len(d.records)) }

func (d *Directory) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetDown starts or ends an outage, during which all reads fail, waiting ones included.
func (d *Directory) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.notify()
}

// StallWaitingReads makes the reads that wait now ignore further records and outages until their timeout or the end of
// their context.
func (d *Directory) StallWaitingReads() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changed = make(chan struct{})
}

// LoseHistory removes all records from the history. Newest still returns the newest record of each key.
func (d *Directory) LoseHistory() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.firstOffset = d.nextOffset()
	d.records = nil
	d.notify()
}

// Restore loses the last records, as a platform does that comes back from an older copy: their offsets are given out
// again, and the era rises by one.
func (d *Directory) Restore(lost int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records = d.records[:len(d.records)-lost]
	clear(d.newest)
	for _, c := range d.records {
		d.newest[c.Key()] = c
		if len(c.Value()) == 0 {
			delete(d.newest, c.Key())
		}
	}
	d.era++
	d.notify()
}

// ReadCount returns the number of reads, failed ones included.
func (d *Directory) ReadCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.readCount
}

// Newest returns the newest record of each key, ordered by offset. It fails with KindUnavailable during an outage.
func (d *Directory) Newest(context.Context) (comfreyvale.Changes, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.readCount++
	if d.down {
		return comfreyvale.Changes{}, fail(comfreyvale.KindUnavailable, "the directory is down")
	}
	var changes []comfreyvale.Change
	for _, c := range d.newest {
		changes = append(changes, c)
	}
	slices.SortFunc(changes, func(a, b comfreyvale.Change) int { return int(a.Offset() - b.Offset()) })
	return comfreyvale.NewChanges(changes, comfreyvale.NewPosition(d.era, d.nextOffset())), nil
}

// Follow returns the records from a position on. If there are none, it waits for up to the given time. It fails with
// KindNotFound if the history does not hold the position, and with KindUnavailable during an outage or if ctx ends.
func (d *Directory) Follow(ctx context.Context, from comfreyvale.Position, wait time.Duration) (comfreyvale.Changes, error) {
	timeout := time.After(wait)
	d.mu.Lock()
	d.readCount++
	d.mu.Unlock()
	for {
		d.mu.Lock()
		down, first, next, changed, era := d.down, d.firstOffset, d.nextOffset(), d.changed, d.era
		var changes []comfreyvale.Change
		if from.Offset() >= first && from.Offset() < next {
			changes = slices.Clone(d.records[from.Offset()-first:])
		}
		d.mu.Unlock()
		switch {
		case down:
			return comfreyvale.Changes{}, fail(comfreyvale.KindUnavailable, "the directory is down")
		case from.Era() != era || from.Offset() < first || from.Offset() > next:
			return comfreyvale.Changes{}, fail(comfreyvale.KindNotFound, "the directory does not hold the position")
		case len(changes) > 0:
			return comfreyvale.NewChanges(changes, from.Plus(len(changes))), nil
		}
		select {
		case <-changed:
		case <-timeout:
			return comfreyvale.NewChanges(nil, from), nil
		case <-ctx.Done():
			return comfreyvale.Changes{}, fail(comfreyvale.KindUnavailable, ctx.Err().Error())
		}
	}
}

// String returns the name of the implementation.
func (d *Directory) String() string { return "memory" }
