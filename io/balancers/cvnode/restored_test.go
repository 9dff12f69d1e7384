package cvnode_test

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"
)

// TestRestoredLogs checks that a balancer logs when a directory was restored from an older copy.
func TestRestoredLogs(t *testing.T) {
	const message = "directory was restored from an older copy"
	d, _, n := startServing(t, idempotentRoute("g"))
	d.upstreamsDirectory.Restore(0)
	d.putUpstream("a", "g", false, 2)
	require.Eventually(t, func() bool { return n.logs.count(message) > 0 }, 30*time.Second, time.Millisecond)
	require.Equal(t, log.Fields{"directory": "upstreams", "era": int64(1), "eraBefore": int64(0)}, n.logs.withMessage(message)[0])
}
