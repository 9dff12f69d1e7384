// Package cvmemlog implements an append-only log in memory for the embedded deployment, tests and the log stand-in.
package cvmemlog

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
)

// maxBatchRecords is the maximum number of records in one read.
const maxBatchRecords = 1000

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Log holds streams of records in memory. The zero value is empty. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  faults
	appends int64
}

type stream struct {
	firstOffset int64
	records     [][]byte
	changed     chan struct{}
}

type faults struct {
	down          bool
	delay         time.Duration
	loseResponses bool
	maxRecords    int
}

func (s *stream) nextOffset() int64 { return s.firstOffset + int64(len(s.records)) }

// SetDown starts or ends an outage, during which all reads and appends fail.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.down = down
}

// SetDelay sets the time before each append takes effect.
func (l *Log) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.delay = delay
}

// SetLoseResponses switches lost responses on or off: appends take effect but fail with KindUncertain.
func (l *Log) SetLoseResponses(lose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.loseResponses = lose
}

// SetMaxRecords limits each stream to the given number of newest records. 0 keeps all.
func (l *Log) SetMaxRecords(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.maxRecords = records
	for _, s := range l.streams {
		s.trim(records)
	}
}

// AppendCount returns the number of appends that took effect.
func (l *Log) AppendCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append appends a record to a stream and returns its offset. The error is of KindUnavailable during an outage, and of
// KindUncertain if the response is lost or ctx ends during the delay.
func (l *Log) Append(ctx context.Context, name string, body []byte) (int64, error) {
	if err := l.awaitDelay(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.down {
		return 0, fail("append", comfreyvale.KindUnavailable, errors.New("the log is down"))
	}
	s := l.openStream(name)
	offset := s.nextOffset()
	s.records = append(s.records, body)
	s.trim(l.faults.maxRecords)
	close(s.changed)
	s.changed = make(chan struct{})
	l.appends++
	if l.faults.loseResponses {
		return 0, fail("append", comfreyvale.KindUncertain, errors.New("the response was lost"))
	}
	return offset, nil
}

func (l *Log) awaitDelay(ctx context.Context) error {
	l.mu.Lock()
	delay := l.faults.delay
	l.mu.Unlock()
	if delay == 0 {
		return nil
	}
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return fail("append", comfreyvale.KindUncertain, ctx.Err())
	}
}

func (s *stream) trim(keep int) {
	if keep == 0 || len(s.records) <= keep {
		return
	}
	removed := len(s.records) - keep
	s.firstOffset += int64(removed)
	s.records = s.records[removed:]
}

func (l *Log) openStream(name string) *stream {
	if l.streams == nil {
		l.streams = make(map[string]*stream)
	}
	s := l.streams[name]
	if s == nil {
		s = &stream{firstOffset: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Read returns the records of a stream from an offset on, or from the first kept record if that is later. If there are
// none, it waits for up to the given time. The error is of KindUnavailable during an outage, and of KindTimeout if ctx
// ends.
func (l *Log) Read(ctx context.Context, name string, from int64, wait time.Duration) (comfreyvale.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := l.readOnce(name, from)
		if err != nil || len(batch.Records()) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			batch, _, err = l.readOnce(name, from)
			return batch, err
		case <-ctx.Done():
			return comfreyvale.Batch{}, fail("read", comfreyvale.KindTimeout, ctx.Err())
		}
	}
}

func (l *Log) readOnce(name string, from int64) (comfreyvale.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.down {
		return comfreyvale.Batch{}, nil, fail("read", comfreyvale.KindUnavailable, errors.New("the log is down"))
	}
	s := l.openStream(name)
	start := max(from, s.firstOffset)
	var records []comfreyvale.Record
	for o := start; o < s.nextOffset() && len(records) < maxBatchRecords; o++ {
		records = append(records, comfreyvale.NewRecord(o, s.records[o-s.firstOffset]))
	}
	return comfreyvale.NewBatch(s.firstOffset, s.nextOffset(), records), s.changed, nil
}

// String returns the name of the implementation.
func (l *Log) String() string { return "memory" }
