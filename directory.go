package comfreyvale

import (
	"context"
	"time"
)

// Directory is a compacted topic of the platform's log: it keeps the newest record of each key.
type Directory interface {
	// Newest returns the newest record of each key, and the offset from which to call Follow.
	Newest(ctx context.Context) (Changes, error)
	// Follow returns the records from an offset on. If there are none yet, it waits for the first one up to the given
	// time. An error of KindNotFound means that the topic no longer keeps all records from that offset on, or that it
	// ends before the offset.
	Follow(ctx context.Context, from int64, wait time.Duration) (Changes, error)
	// String returns the name of the topic.
	String() string
}

// Change is one record of a directory, which sets or removes the value of a key.
type Change struct {
	key    string
	value  []byte
	offset int64
}

// NewChange returns a record of a key. An empty value removes the key.
func NewChange(key string, value []byte, offset int64) Change {
	return Change{key: key, value: value, offset: offset}
}

// Key returns the key that the record sets or removes.
func (c Change) Key() string { return c.key }

// Value returns the value of the key, which is empty if the record removes the key.
func (c Change) Value() []byte { return c.value }

// Offset returns the offset of the record in its topic.
func (c Change) Offset() int64 { return c.offset }

// Changes is the result of one read of a directory.
type Changes struct {
	records []Change
	next    int64
	era     int64
}

// NewChanges returns records with the offset from which to call Follow.
func NewChanges(records []Change, next int64) Changes { return Changes{records: records, next: next} }

// WithEra returns a copy with another Era.
func (c Changes) WithEra(era int64) Changes {
	c.era = era
	return c
}

// Era returns how often the platform's log had been restored from an older copy when the records were read. Offsets of
// different eras have nothing to do with each other. It is 0 if the platform tells none.
func (c Changes) Era() int64 { return c.era }

// Records returns the records, in offset order.
func (c Changes) Records() []Change { return c.records }

// Next returns the offset from which to call Follow.
func (c Changes) Next() int64 { return c.next }
