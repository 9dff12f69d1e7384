// Package cvjournal is the stream of one home's claims in the platform's log.
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

// streamPrefix begins the names of journals' streams.
const streamPrefix = "journal."

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Journal is the journal of one incarnation. Its owner alone appends claims; anyone may seal it.
// It is not safe for concurrent use.
type Journal struct {
	// Log is the platform's log.
	Log comfreyvale.Log
	// Incarnation is the journal's owner.
	Incarnation string
	// Metrics counts.
	Metrics *cvmetrics.Metrics

	next int64
}

// Append adds a record. It returns whether the journal was sealed before the record, which is void then.
// After an error the record may stand in the log; the same record is to be appended again.
func (j *Journal) Append(ctx context.Context, record *cvwire.JournalRecord) (sealed bool, err error) {
	if j.next == 0 {
		j.next = 1
	}
	body, err := proto.Marshal(record)
	if err != nil {
		return false, fail("append", comfreyvale.KindInvalid, err)
	}
	offset, appendErr := j.Log.Append(ctx, j.stream(), body)
	j.count(appendErr)
	if appendErr == nil && offset == j.next {
		j.next++
		return false, nil
	}
	return j.find(ctx, record.GetId(), appendErr)
}

func (j *Journal) stream() string { return streamPrefix + j.Incarnation }

func (j *Journal) count(err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	j.Metrics.LogAppended("journal", result)
}

// find reads on until it meets the record or a seal, whichever comes first.
func (j *Journal) find(ctx context.Context, id string, appendErr error) (sealed bool, err error) {
	for {
		batch, err := j.Log.Read(ctx, j.stream(), j.next, 0)
		if err != nil {
			return false, err
		}
		if batch.StreamFirst() > j.next {
			return true, nil
		}
		for _, r := range batch.Records() {
			record := decode(r)
			j.next = r.Offset() + 1
			if record.GetSealedBy() != "" {
				return true, nil
			}
			if record.GetId() == id {
				return false, nil
			}
		}
		if j.next >= batch.StreamNext() {
			return false, fail("append", comfreyvale.KindUncertain, errors.Wrap(appendErr, "the record does not stand in the journal"))
		}
	}
}

func decode(r comfreyvale.Record) *cvwire.JournalRecord {
	record := &cvwire.JournalRecord{}
	// A record that cannot be read holds no claims.
	_ = proto.Unmarshal(r.Body(), record)
	return record
}

// Seal ends the journal on behalf of a process, and returns all claims that count.
func (j *Journal) Seal(ctx context.Context, by string) (*cvsealed.Journal, error) {
	s, err := j.readSealed(ctx)
	if err != nil || s.Sealed() {
		return s, err
	}
	body, err := proto.Marshal(&cvwire.JournalRecord{SealedBy: by})
	if err != nil {
		return nil, fail("seal", comfreyvale.KindInvalid, err)
	}
	_, err = j.Log.Append(ctx, j.stream(), body)
	j.count(err)
	if err != nil {
		return nil, err
	}
	s, err = j.readSealed(ctx)
	if err != nil {
		return nil, err
	}
	if !s.Sealed() {
		return nil, fail("seal", comfreyvale.KindUnavailable, errors.New("the log took the seal, but does not show it"))
	}
	return s, nil
}

// readSealed reads the journal up to its seal or its end.
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
