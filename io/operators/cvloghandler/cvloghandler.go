// Package cvloghandler implements a rate-limited log handler that never blocks its callers.
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
	// maxLinesPerSecond allows two lines for each request of the busiest VM.
	maxLinesPerSecond = 600
	maxBurstLines     = 1200
	// maxQueuedLines is the number of lines that may wait for a slow reader. Further lines are dropped.
	maxQueuedLines = 2048
	// reportInterval is the time between two reports of dropped lines.
	reportInterval = time.Second
)

// Handler writes log entries as JSON lines in the background. It is safe for concurrent use.
type Handler struct {
	// Out receives the lines.
	Out io.Writer

	once         sync.Once
	queue        chan []byte
	limiter      *rate.Limiter
	unreported   atomic.Int64
	droppedTotal atomic.Int64
}

func (h *Handler) init() {
	h.once.Do(func() {
		h.queue = make(chan []byte, maxQueuedLines)
		h.limiter = rate.NewLimiter(maxLinesPerSecond, maxBurstLines)
	})
}

// HandleLog queues a line, or drops and counts it if the queue is full or the rate limit is reached. Levels above info
// are not rate-limited. The error is always nil.
func (h *Handler) HandleLog(entry *log.Entry) error {
	h.init()
	if entry.Level <= log.InfoLevel && !h.limiter.AllowN(entry.Timestamp, 1) {
		h.drop()
		return nil
	}
	var b bytes.Buffer
	if err := json.New(&b).HandleLog(entry); err != nil {
		h.drop()
		return nil
	}
	select {
	case h.queue <- b.Bytes():
	default:
		h.drop()
	}
	return nil
}

func (h *Handler) drop() {
	h.unreported.Add(1)
	h.droppedTotal.Add(1)
}

// Dropped returns the number of dropped lines.
func (h *Handler) Dropped() int64 { return h.droppedTotal.Load() }

// Run writes queued lines until the context ends, and then those still queued. The error is always nil.
func (h *Handler) Run(ctx context.Context) error {
	h.init()
	report := time.NewTicker(reportInterval)
	defer report.Stop()
	for {
		select {
		case line := <-h.queue:
			h.write(line)
		case now := <-report.C:
			h.writeReport(now)
		case <-ctx.Done():
			h.flush()
			h.writeReport(time.Now())
			return nil
		}
	}
}

func (h *Handler) flush() {
	for {
		select {
		case line := <-h.queue:
			h.write(line)
		default:
			return
		}
	}
}

// write writes a line, or counts it as dropped if Out returns an error, because the process must continue without logs.
func (h *Handler) write(line []byte) {
	if _, err := h.Out.Write(line); err != nil {
		h.drop()
	}
}

func (h *Handler) writeReport(now time.Time) {
	dropped := h.unreported.Swap(0)
	if dropped == 0 {
		return
	}
	var b bytes.Buffer
	entry := &log.Entry{Fields: log.Fields{"lines": dropped}, Level: log.WarnLevel, Message: "log lines dropped", Timestamp: now}
	if json.New(&b).HandleLog(entry) == nil {
		h.write(b.Bytes())
	}
}
