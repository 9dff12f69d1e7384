// Package cvjournal provides access to journals. A journal is the log stream that holds one balancer's claims.
package cvjournal

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvsealed"
	"comfreyvale/core/cvwire"
	"comfreyvale/io/operators/cvmetrics"
)

const streamPrefix = "journal."

type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Journal is the journal of one incarnation. Only its owner appends claims; any balancer may seal it. Records after the
// seal are void. Journal is not safe for concurrent use.
type Journal struct {
	// Log is the platform's log.
	Log comfreyvale.Log
	// Incarnation is the incarnation that owns the journal.
	Incarnation string
	// Metrics counts appends.
	Metrics *cvmetrics.Metrics

	nextOffset int64
}

// Append appends a record. It returns true if the journal was sealed before the record, which is then void, or if the
// log no longer keeps the records that would show it. After an error the log may hold the record; the caller must
// append the same record again.
func (j *Journal) Append(ctx context.Context, record *cvwire.JournalRecord) (sealed bool, err error) {
	if j.nextOffset == 0 {
		j.nextOffset = 1
	}
	body, err := proto.Marshal(record)
	if err != nil {
		return false, fail("append", comfreyvale.KindInvalid, err)
	}
	offset, appendErr := j.Log.Append(ctx, j.stream(), body)
	j.countAppend(appendErr)
	if appendErr == nil && offset == j.nextOffset {
		j.nextOffset++
		return false, nil
	}
	return j.find(ctx, record.GetId(), appendErr)
}

func (j *Journal) stream() string { return streamPrefix + j.Incarnation }

func (j *Journal) countAppend(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	j.Metrics.LogAppended("journal", result)
}

// find reads from nextOffset up to the record with an ID, or to the seal, for which it returns true. It also returns
// true if the log no longer keeps the record at nextOffset. If it finds neither record nor seal, the error has
// KindUncertain.
func (j *Journal) find(ctx context.Context, id string, appendErr error) (sealed bool, err error) {
	for {
		batch, err := j.Log.Read(ctx, j.stream(), j.nextOffset, 0)
		if err != nil {
			return false, err
		}
		if batch.StreamFirst() > j.nextOffset {
			return true, nil
		}
		for _, r := range batch.Records() {
			record := decode(r)
			j.nextOffset = r.Offset() + 1
			if record.GetSealedBy() != "" {
				return true, nil
			}
			if record.GetId() == id {
				return false, nil
			}
		}
		if j.nextOffset >= batch.StreamNext() {
			if appendErr == nil {
				appendErr = errors.New("the log accepted the record, but does not return it")
			}
			return false, fail("append", comfreyvale.KindUncertain, errors.Wrap(appendErr, "the journal does not hold the record"))
		}
	}
}

func decode(r comfreyvale.Record) *cvwire.JournalRecord {
	record := &cvwire.JournalRecord{}
	// A record that cannot be decoded counts as one without claims.
	_ = proto.Unmarshal(r.Body(), record)
	return record
}

// Seal seals the journal, unless it is sealed already, and returns the journal up to the seal.
func (j *Journal) Seal(ctx context.Context, process string) (*cvsealed.Journal, error) {
	s, err := j.readSealed(ctx)
	if err != nil || s.Sealed() {
		return s, err
	}
	body, err := proto.Marshal(&cvwire.JournalRecord{SealedBy: process})
	if err != nil {
		return nil, fail("seal", comfreyvale.KindInvalid, err)
	}
	_, err = j.Log.Append(ctx, j.stream(), body)
	j.countAppend(err)
	if err != nil {
		return nil, err
	}
	s, err = j.readSealed(ctx)
	if err != nil {
		return nil, err
	}
	if !s.Sealed() {
		return nil, fail("seal", comfreyvale.KindUnavailable, errors.New("the log accepted the seal, but does not return it"))
	}
	return s, nil
}

// readSealed reads the journal from its first record up to its seal or, without a seal, up to its end.
func (j *Journal) readSealed(ctx context.Context) (*cvsealed.Journal, error) {
	s := &cvsealed.Journal{}
	for from := int64(1); ; {
		batch, err := j.Log.Read(ctx, j.stream(), from, 0)
		if err != nil {
			return nil, err
		}
		if batch.StreamFirst() > from {
			s.MarkTruncated()
			from = batch.StreamFirst()
		}
		for _, r := range batch.Records() {
			from = r.Offset() + 1
			if s.Add(decode(r)) {
				return s, nil
			}
		}
		if from >= batch.StreamNext() {
			return s, nil
		}
	}
}
