package cvnode_test

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (l *logRecorder) count(message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.entries {
		if strings.HasPrefix(e.Message, message) {
			n++
		}
	}
	return n
}

// TestReload guards against a reload that stops the balancer, misses a changed file with or without SIGHUP, or replaces
// valid settings by those of an invalid file.
func TestReload(t *testing.T) {
	d := newDeployment(t)
	d.settingsFile = filepath.Join(t.TempDir(), "settings.yaml")
	d.startUpstream("a", "g")
	d.publish(1, idempotentRoute("g"))
	n := d.startNode()
	n.awaitReady(t)
	good, err := os.ReadFile(d.settingsFile)
	require.NoError(t, err)
	cases := []struct {
		name, content, message string
		signal                 bool
	}{
		{"the signal alone", string(good), "settings reloaded; no change", true},
		{"changed, with the signal", string(good) + "traceShare: 2%\n", "settings reloaded", true},
		{"changed, without it", string(good) + "traceShare: 3%\n", "settings reloaded", false},
		{"bad", "vm: [", "settings are invalid", true},
		{"good again", string(good), "settings reloaded", true},
	}
	for _, c := range cases {
		before := n.logs.count(c.message)
		require.NoError(t, os.WriteFile(d.settingsFile, []byte(c.content), 0o600))
		if c.signal {
			require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
		}
		require.Eventually(t, func() bool { return n.logs.count(c.message) > before }, 30*time.Second, time.Millisecond, c.name)
		n.awaitStatus(t, "/safe/x", http.StatusOK)
	}
}
