package comfreyvale

import (
	"context"
	"time"
)

// Log is the platform's append-only log service.
type Log interface {
	// Append adds one record to a stream and returns its offset.
	// An error of KindUncertain means that the record may have been appended.
	Append(ctx context.Context, stream string, body []byte) (int64, error)
	// Read returns the records of a stream from an offset on, waiting at most the given time for the first.
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error)
	// String names the implementation.
	String() string
}

// Record is one entry of a stream.
type Record struct {
	offset int64
	body   []byte
}

// NewRecord returns a record.
func NewRecord(offset int64, body []byte) Record {
	return Record{offset: offset, body: body}
}

// Offset is the record's place in its stream; the first record of a stream has offset 1.
func (r Record) Offset() int64 { return r.offset }

// Body is what was appended.
func (r Record) Body() []byte { return r.body }

// Batch is what one read of a stream returned.
type Batch struct {
	first   int64
	next    int64
	records []Record
}

// NewBatch returns a batch of a stream that keeps records from first on and whose next append gets offset next.
func NewBatch(first, next int64, records []Record) Batch {
	return Batch{first: first, next: next, records: records}
}

// First is the lowest offset that the stream still keeps.
func (b Batch) First() int64 { return b.first }

// Next is the offset that the stream's next record will get.
func (b Batch) Next() int64 { return b.next }

// Records are the records read, in offset order without gaps.
func (b Batch) Records() []Record { return b.records }
