package cvloghandler_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"comfreyvale/io/operators/cvloghandler"
)

// blockedWriter blocks writes until unblocked is closed.
type blockedWriter struct {
	unblocked chan struct{}
	mu        sync.Mutex
	written   bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(line)
}

func (w *blockedWriter) lines() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Split(strings.TrimSpace(w.written.String()), "\n")
}

// TestLoggingNeverBlocks guards against a log call that blocks while Out accepts no writes, and against lines that are
// dropped but not reported.
func TestLoggingNeverBlocks(t *testing.T) {
	out := &blockedWriter{unblocked: make(chan struct{})}
	h := &cvloghandler.Handler{Out: out}
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- h.Run(ctx) }()
	const lines = 10000
	for range lines {
		logger.Warn("too much")
	}
	require.Positive(t, h.Dropped())
	close(out.unblocked)
	require.Eventually(t, func() bool { return strings.Contains(strings.Join(out.lines(), ""), "log lines dropped") }, 30*time.Second, 10*time.Millisecond)
	cancel()
	require.NoError(t, <-done)
	var last struct {
		Fields struct{ Lines int64 }
	}
	written, reported := int64(0), int64(0)
	for _, line := range out.lines() {
		require.NoError(t, json.Unmarshal([]byte(line), &last))
		if strings.Contains(line, "log lines dropped") {
			reported += last.Fields.Lines
			continue
		}
		written++
	}
	require.Equal(t, int64(lines), written+reported)
}

// TestRateLimit guards against info lines above the rate limit, and against warnings that the rate limit drops.
func TestRateLimit(t *testing.T) {
	var out bytes.Buffer
	h := &cvloghandler.Handler{Out: &out}
	now := time.Unix(1000, 0)
	for range 5000 {
		require.NoError(t, h.HandleLog(&log.Entry{Level: log.InfoLevel, Message: "line", Timestamp: now}))
	}
	require.Equal(t, int64(5000-1200), h.Dropped())
	require.NoError(t, h.HandleLog(&log.Entry{Level: log.WarnLevel, Message: "warning", Timestamp: now}))
	require.Equal(t, int64(5000-1200), h.Dropped())
}

func BenchmarkHandleLog(b *testing.B) {
	h := &cvloghandler.Handler{Out: &bytes.Buffer{}}
	logger := &log.Logger{Handler: h, Level: log.InfoLevel}
	for b.Loop() {
		logger.WithFields(log.Fields{"request": "9c41d07be2a35f68", "route": "r", "status": 200, "tookMs": 12}).Info("request")
	}
}
