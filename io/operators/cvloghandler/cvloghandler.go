// Package cvloghandler is the output of structured log lines: bounded in rate, and never blocking who logs.
package cvloghandler

import (
	"bytes"
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond bounds the lines of one process: two for each request of the busiest VM.
	linesPerSecond = 600
	// burstLines is how many lines may come at once.
	burstLines = 1200
	// queuedLines is how many lines wait for a slow reader; further ones are dropped and counted.
	queuedLines = 2048
	// reportTime is the time between two lines that tell how many were dropped.
	reportTime = time.Second
)

// Handler writes lines in the background. It is a handler of package log.
type Handler struct {
	// Out takes the lines.
	Out io.Writer

	once    sync.Once
	queue   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	total   atomic.Int64
}

func (l *Handler) init() {
	l.once.Do(func() {
		l.queue = make(chan []byte, queuedLines)
		l.limit = rate.NewLimiter(linesPerSecond, burstLines)
	})
}

// HandleLog takes a line, or drops and counts it when there are too many. Lines of a level above info pass the rate.
func (l *Handler) HandleLog(entry *log.Entry) error {
	l.init()
	if entry.Level <= log.InfoLevel && !l.limit.AllowN(entry.Timestamp, 1) {
		l.drop()
		return nil
	}
	var b bytes.Buffer
	if err := json.New(&b).HandleLog(entry); err != nil {
		l.drop()
		return nil
	}
	select {
	case l.queue <- b.Bytes():
	default:
		l.drop()
	}
	return nil
}

func (l *Handler) drop() {
	l.dropped.Add(1)
	l.total.Add(1)
}

// Dropped is the number of lines that were dropped.
func (l *Handler) Dropped() int64 { return l.total.Load() }

// Run writes lines until the context ends, and then those that wait.
func (l *Handler) Run(ctx context.Context) error {
	l.init()
	report := time.NewTicker(reportTime)
	defer report.Stop()
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		case now := <-report.C:
			l.report(now)
		case <-ctx.Done():
			l.flush()
			l.report(time.Now())
			return nil
		}
	}
}

func (l *Handler) flush() {
	for {
		select {
		case line := <-l.queue:
			l.write(line)
		default:
			return
		}
	}
}

// write ignores a reader that has closed: the process goes on without log.
func (l *Handler) write(line []byte) {
	if _, err := l.Out.Write(line); err != nil {
		l.drop()
	}
}

// report tells how many lines were dropped since the last report.
func (l *Handler) report(now time.Time) {
	dropped := l.dropped.Swap(0)
	if dropped == 0 {
		return
	}
	var b bytes.Buffer
	entry := &log.Entry{Fields: log.Fields{"lines": dropped}, Level: log.WarnLevel, Message: "log lines dropped", Timestamp: now}
	if json.New(&b).HandleLog(entry) == nil {
		l.write(b.Bytes())
	}
}
