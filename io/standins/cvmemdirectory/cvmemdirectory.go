// Package cvmemdirectory is a directory of the platform in memory, for tests: with outages, lost history and forgotten reads.
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

// Directory keeps the newest record of each key, and all records since history was lost last.
type Directory struct {
	mu      sync.Mutex
	first   int64
	records []comfreyvale.Change
	newest  map[string]comfreyvale.Change
	changed chan struct{}
	down    bool
	reads   int
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{newest: make(map[string]comfreyvale.Change), changed: make(chan struct{})}
}

// Put writes a record; one without a value removes the key.
func (d *Directory) Put(key string, value []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := comfreyvale.NewChange(key, value, d.end())
	d.records = append(d.records, c)
	d.newest[key] = c
	if len(value) == 0 {
		delete(d.newest, key)
	}
	d.wake()
}

func (d *Directory) end() int64 { return d.first + int64(len(d.records)) }

func (d *Directory) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// SetDown makes all reads fail, also those that wait, or work again.
func (d *Directory) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.wake()
}

// StallWaitingReads makes the reads that wait now hear nothing more, until their callers give up.
func (d *Directory) StallWaitingReads() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changed = make(chan struct{})
}

// LoseHistory drops all records; the newest of each key can still be had.
func (d *Directory) LoseHistory() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.first = d.end()
	d.records = nil
	d.wake()
}

// ReadCount is the number of reads so far, those that failed included.
func (d *Directory) ReadCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reads
}

// Newest returns the newest record of each key.
func (d *Directory) Newest(context.Context) (comfreyvale.Changes, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reads++
	if d.down {
		return comfreyvale.Changes{}, fail(comfreyvale.KindUnavailable, "the directory is down")
	}
	var found []comfreyvale.Change
	for _, c := range d.newest {
		found = append(found, c)
	}
	slices.SortFunc(found, func(a, b comfreyvale.Change) int { return int(a.Offset() - b.Offset()) })
	return comfreyvale.NewChanges(found, d.end()), nil
}

// Follow returns the records from an offset on, waiting for the first.
func (d *Directory) Follow(ctx context.Context, from int64, wait time.Duration) (comfreyvale.Changes, error) {
	timeout := time.After(wait)
	d.mu.Lock()
	d.reads++
	d.mu.Unlock()
	for {
		d.mu.Lock()
		down, first, changed := d.down, d.first, d.changed
		var found []comfreyvale.Change
		if from >= first && from < d.end() {
			found = slices.Clone(d.records[from-first:])
		}
		d.mu.Unlock()
		switch {
		case down:
			return comfreyvale.Changes{}, fail(comfreyvale.KindUnavailable, "the directory is down")
		case from < first:
			return comfreyvale.Changes{}, fail(comfreyvale.KindNotFound, "the records are gone")
		case len(found) > 0:
			return comfreyvale.NewChanges(found, from+int64(len(found))), nil
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

// String names the implementation.
func (d *Directory) String() string { return "memory" }
