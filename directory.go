package comfreyvale

import (
	"context"
	"time"
)

// Directory is a topic of the platform's log that keeps the newest record of each key.
type Directory interface {
	// Newest returns the newest record of each key, and the offset from which to follow.
	Newest(ctx context.Context) (Changes, error)
	// Follow returns the records from an offset on, waiting at most the given time for the first.
	// An error of KindNotFound means that records from there on are no longer kept.
	Follow(ctx context.Context, from int64, wait time.Duration) (Changes, error)
	// String names the topic.
	String() string
}

// Change is the newest record of a key at some offset.
type Change struct {
	key    string
	value  []byte
	offset int64
}

// NewChange returns a record of a key; one without a value says that the key is gone.
func NewChange(key string, value []byte, offset int64) Change {
	return Change{key: key, value: value, offset: offset}
}

// Key names what the record is about.
func (c Change) Key() string { return c.key }

// Value is the record's content, empty when the key is gone.
func (c Change) Value() []byte { return c.value }

// Offset is the record's place in its topic.
func (c Change) Offset() int64 { return c.offset }

// Changes is what one read of a directory returned.
type Changes struct {
	records []Change
	next    int64
}

// NewChanges returns records and the offset from which to follow.
func NewChanges(records []Change, next int64) Changes { return Changes{records: records, next: next} }

// Records are the records read, in offset order.
func (c Changes) Records() []Change { return c.records }

// Next is the offset from which to follow.
func (c Changes) Next() int64 { return c.next }
