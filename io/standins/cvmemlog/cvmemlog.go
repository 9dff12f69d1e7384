// Package cvmemlog is an append-only log in memory, for the embedded default, tests and the log stand-in.
package cvmemlog

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"comfreyvale"
	"comfreyvale/core/cvfault"
)

// maxBatch is how many records one read returns at most.
const maxBatch = 1000

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

func fail(operation string, kind comfreyvale.Kind, cause error) error {
	return fault{cvfault.New(operation, kind, cause)}
}

// Log keeps streams of records in memory.
type Log struct {
	mu      sync.Mutex
	streams map[string]*stream
	faults  faults
	appends int64
}

type stream struct {
	first   int64
	records [][]byte
	changed chan struct{}
}

type faults struct {
	down       bool
	delay      time.Duration
	loseAnswer bool
	keep       int
}

func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

// SetDown switches an outage on or off.
func (l *Log) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.down = down
}

// SetDelay makes each append take the given time before it has effect.
func (l *Log) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.delay = delay
}

// SetLoseResponses makes appends take effect without an answer, or stops it.
func (l *Log) SetLoseResponses(lose bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.loseAnswer = lose
}

// SetMaxRecords limits each stream to its last records; 0 keeps all.
func (l *Log) SetMaxRecords(records int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults.keep = records
	for _, s := range l.streams {
		s.trim(records)
	}
}

// AppendCount is the number of appends that took effect.
func (l *Log) AppendCount() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append adds a record to a stream and returns its offset.
func (l *Log) Append(ctx context.Context, name string, body []byte) (int64, error) {
	if err := l.pause(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.down {
		return 0, fail("append", comfreyvale.KindUnavailable, errors.New("the log is down"))
	}
	s := l.stream(name)
	offset := s.next()
	s.records = append(s.records, body)
	s.trim(l.faults.keep)
	close(s.changed)
	s.changed = make(chan struct{})
	l.appends++
	if l.faults.loseAnswer {
		return 0, fail("append", comfreyvale.KindUncertain, errors.New("the answer was lost"))
	}
	return offset, nil
}

func (l *Log) pause(ctx context.Context) error {
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
	cut := len(s.records) - keep
	s.first += int64(cut)
	s.records = s.records[cut:]
}

func (l *Log) stream(name string) *stream {
	if l.streams == nil {
		l.streams = make(map[string]*stream)
	}
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// Read returns the records from an offset on and waits for the first at most the given time.
func (l *Log) Read(ctx context.Context, name string, from int64, wait time.Duration) (comfreyvale.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := l.read(name, from)
		if err != nil || len(batch.Records()) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			batch, _, err = l.read(name, from)
			return batch, err
		case <-ctx.Done():
			return comfreyvale.Batch{}, fail("read", comfreyvale.KindTimeout, ctx.Err())
		}
	}
}

func (l *Log) read(name string, from int64) (comfreyvale.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.down {
		return comfreyvale.Batch{}, nil, fail("read", comfreyvale.KindUnavailable, errors.New("the log is down"))
	}
	s := l.stream(name)
	start := max(from, s.first)
	var records []comfreyvale.Record
	for o := start; o < s.next() && len(records) < maxBatch; o++ {
		records = append(records, comfreyvale.NewRecord(o, s.records[o-s.first]))
	}
	return comfreyvale.NewBatch(s.first, s.next(), records), s.changed, nil
}

// String names the implementation.
func (l *Log) String() string { return "memory" }
