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

// stuck is a reader that takes nothing until it is opened.
type stuck struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

// Write waits until the reader is opened.
func (s *stuck) Write(line []byte) (int, error) {
	<-s.open
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(line)
}

func (s *stuck) lines() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Split(strings.TrimSpace(s.got.String()), "\n")
}

// TestLoggingNeverBlocks goes on while nobody reads, drops what is too much, counts it and says so.
func TestLoggingNeverBlocks(t *testing.T) {
	out := &stuck{open: make(chan struct{})}
	l := &cvloghandler.Handler{Out: out}
	logger := &log.Logger{Handler: l, Level: log.InfoLevel}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- l.Run(ctx) }()
	const many = 10000
	for range many {
		logger.Warn("too much")
	}
	require.Positive(t, l.Dropped())
	close(out.open)
	require.Eventually(t, func() bool { return strings.Contains(strings.Join(out.lines(), ""), "log lines dropped") }, 30*time.Second, 10*time.Millisecond)
	cancel()
	require.NoError(t, <-done)
	var last struct {
		Fields struct{ Lines int64 }
	}
	total, told := int64(0), int64(0)
	for _, line := range out.lines() {
		require.NoError(t, json.Unmarshal([]byte(line), &last))
		if strings.Contains(line, "log lines dropped") {
			told += last.Fields.Lines
			continue
		}
		total++
	}
	require.Equal(t, int64(many), total+told)
}

// TestRateLimit bounds ordinary lines, and lets warnings pass.
func TestRateLimit(t *testing.T) {
	var out bytes.Buffer
	l := &cvloghandler.Handler{Out: &out}
	now := time.Unix(1000, 0)
	for range 5000 {
		require.NoError(t, l.HandleLog(&log.Entry{Level: log.InfoLevel, Message: "line", Timestamp: now}))
	}
	require.Equal(t, int64(5000-1200), l.Dropped())
	require.NoError(t, l.HandleLog(&log.Entry{Level: log.WarnLevel, Message: "warning", Timestamp: now}))
	require.Equal(t, int64(5000-1200), l.Dropped())
}

// BenchmarkHandleLog is the cost of one line to who logs it.
func BenchmarkHandleLog(b *testing.B) {
	l := &cvloghandler.Handler{Out: &bytes.Buffer{}}
	logger := &log.Logger{Handler: l, Level: log.InfoLevel}
	for b.Loop() {
		logger.WithFields(log.Fields{"request": "9c41d07be2a35f68", "route": "r", "status": 200, "tookMs": 12}).Info("request")
	}
}
