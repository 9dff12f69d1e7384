package comfreyvale

import (
	"context"
	"time"
)

// Directory is a compacted topic of the platform's log: it keeps the newest record of each key.
type Directory interface {
	// Newest returns the newest record of each key, and the position from which to call Follow.
	Newest(ctx context.Context) (Changes, error)
	// Follow returns the records from a position on. If there are none yet, it waits for the first one up to the given
	// time. An error of KindNotFound means that the topic no longer keeps all records from that position on, that it ends
	// before the position, or that it was restored from an older copy since.
	Follow(ctx context.Context, from Position, wait time.Duration) (Changes, error)
	// String returns the name of the topic.
	String() string
}

// Position is a place in a topic of the platform's log. The log can be restored from an older copy: it then begins
// another era, in which it gives offsets out again for other records. It is immutable.
type Position struct {
	era    int64
	offset int64
}

// NewPosition returns the position before the record at an offset of an era. An era is 0 if the platform tells none.
func NewPosition(era, offset int64) Position { return Position{era: era, offset: offset} }

// Era returns how often the log had been restored.
func (p Position) Era() int64 { return p.era }

// Offset returns the offset of the next record.
func (p Position) Offset() int64 { return p.offset }

// Plus returns the position a number of records further on.
func (p Position) Plus(records int) Position {
	return Position{era: p.era, offset: p.offset + int64(records)}
}

// Before reports whether a reader at this position knows less of the log than one at another: an earlier era counts as
// before any position of a later one.
func (p Position) Before(other Position) bool {
	if p.era != other.era {
		return p.era < other.era
	}
	return p.offset < other.offset
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
	next    Position
	more    bool
	// startedAt is when the read began, if timed is set.
	startedAt time.Duration
	timed     bool
}

// NewChanges returns records with the position from which to call Follow.
func NewChanges(records []Change, next Position) Changes {
	return Changes{records: records, next: next}
}

// Records returns the records, in offset order.
func (c Changes) Records() []Change { return c.records }

// Next returns the position from which to call Follow.
func (c Changes) Next() Position { return c.next }

// WithMore returns a copy for a read that did not reach the end of the topic.
func (c Changes) WithMore() Changes {
	c.more = true
	return c
}

// WithStart returns a copy for a read that began at a time of the boot clock.
func (c Changes) WithStart(start time.Duration) Changes {
	c.startedAt, c.timed = start, true
	return c
}

// CompleteAt returns a time of the boot clock at which the topic held nothing beyond Next, or false if none is known: the
// records were not read from the platform, or the read did not reach the end of the topic.
func (c Changes) CompleteAt() (time.Duration, bool) { return c.startedAt, c.timed && !c.more }
