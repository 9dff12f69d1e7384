package comfreyvale

import (
	"context"
	"time"
)

// Log is the platform's append-only log service. Implementations are safe for concurrent use.
type Log interface {
	// Append adds one record to a stream and returns its offset. An error of KindUncertain means that the record may
	// have been appended.
	Append(ctx context.Context, stream string, body []byte) (int64, error)
	// Read returns the records of a stream from an offset on. If there are none yet, it waits for the first one up to
	// the given time.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
	// String returns the name of the implementation.
	String() string
}

// Record is one entry of a stream.
type Record struct {
	offset int64
	body   []byte
}

// NewRecord returns a record with a body at an offset.
func NewRecord(offset int64, body []byte) Record {
	return Record{offset: offset, body: body}
}

// Offset returns the offset of the record in its stream. The first record has offset 1.
func (r Record) Offset() int64 { return r.offset }

// Body returns the content of the record.
func (r Record) Body() []byte { return r.body }

// Batch is the result of one read of a stream.
type Batch struct {
	first   int64
	next    int64
	records []Record
}

// NewBatch returns a batch of a stream that keeps offsets from first on and appends the next record at offset next.
func NewBatch(first, next int64, records []Record) Batch {
	return Batch{first: first, next: next, records: records}
}

// StreamFirst returns the lowest offset that the stream keeps.
func (b Batch) StreamFirst() int64 { return b.first }

// StreamNext returns the offset of the next record appended to the stream.
func (b Batch) StreamNext() int64 { return b.next }

// Records returns the records, in offset order without gaps.
func (b Batch) Records() []Record { return b.records }
