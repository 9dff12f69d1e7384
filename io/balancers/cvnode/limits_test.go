package cvnode_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"
)

// withMessage returns the fields of the log lines with a message.
func (l *logRecorder) withMessage(message string) []log.Fields {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []log.Fields
	for _, e := range l.entries {
		if e.Message == message {
			found = append(found, e.Fields)
		}
	}
	return found
}

// TestLimitLogs checks the log lines about the request limit of an upstream.
func TestLimitLogs(t *testing.T) {
	_, upstream, node := startServing(t, idempotentRoute("g"))
	sent := 0
	awaitLine := func(message string) log.Fields {
		require.Eventually(t, func() bool {
			sent++
			node.request(t, http.MethodGet, "/safe/x", fmt.Sprint("limit-", sent), 1000)
			return len(node.logs.withMessage(message)) > 0
		}, 30*time.Second, 10*time.Millisecond)
		return node.logs.withMessage(message)[0]
	}
	const limit = 50.0
	upstream.SetLimit("50")
	require.Equal(t, log.Fields{"upstream": "a", "perSecond": limit, "from": ""}, awaitLine("upstream limits its requests"))
	upstream.SetLimit("many")
	require.Equal(t, log.Fields{"upstream": "a", "value": "many", "perSecond": limit}, awaitLine("ignored an invalid request limit of an upstream"))
	fields := node.logs.fields(fmt.Sprint("limit-", sent))
	require.InDelta(t, limit, fields[len(fields)-1]["limitPerSecond"], 0)
	upstream.SetLimit("")
	require.Equal(t, log.Fields{"upstream": "a", "perSecond": 0.0, "from": ""}, awaitLine("upstream no longer limits its requests"))
	require.Len(t, node.logs.withMessage("ignored an invalid request limit of an upstream"), 1)
}
