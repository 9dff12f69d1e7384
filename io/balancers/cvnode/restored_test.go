package cvnode_test

import (
	"fmt"
	"net/http"
	"slices"
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

// loggedChange reports whether the balancer has logged an upstream in a list of "upstreams changed".
func (r *runningNode) loggedChange(list, upstream string) bool {
	return slices.ContainsFunc(r.logs.withMessage("upstreams changed"), func(f log.Fields) bool {
		ids, _ := f[list].([]string)
		return slices.Contains(ids, upstream)
	})
}

func (r *runningNode) awaitChange(t *testing.T, list, upstream string) {
	t.Helper()
	require.Eventually(t, func() bool { return r.loggedChange(list, upstream) }, 15*time.Second, 5*time.Millisecond, "%s: %s", list, upstream)
}

// putReports writes reports of an upstream with rising sequence numbers.
func (d *deployment) putReports(id string, first, count int64) {
	for sequence := first; sequence < first+count; sequence++ {
		d.putUpstream(id, "g", false, sequence)
	}
}

// TestOffsetsOfLostRecordsAreReadOn guards against a balancer that could not read a directory over its restoration, and
// then goes on at an offset that was given out again for a later record.
func TestOffsetsOfLostRecordsAreReadOn(t *testing.T) {
	const lost = 3
	d, _, n := startServing(t, idempotentRoute("g"))
	d.startUpstream("b", "g")
	d.putReports("a", 2, lost)
	for range lost {
		d.routesDirectory.Put("other", nil)
	}
	n.awaitChange(t, "added", "b")
	reads := d.upstreamsDirectory.ReadCount() + d.routesDirectory.ReadCount()
	require.Eventually(t, func() bool { return d.upstreamsDirectory.ReadCount()+d.routesDirectory.ReadCount() > reads+2 }, 15*time.Second, 5*time.Millisecond)
	d.upstreamsDirectory.SetDown(true)
	d.routesDirectory.SetDown(true)
	d.upstreamsDirectory.Restore(lost)
	d.routesDirectory.Restore(lost)
	d.putUpstream("b", "g", true, 2)
	d.putReports("a", 2, lost)
	d.publish(2, idempotentRoute("g"), nonIdempotentRoute("g"))
	for range lost {
		d.routesDirectory.Put("other", nil)
	}
	d.upstreamsDirectory.SetDown(false)
	d.routesDirectory.SetDown(false)
	n.awaitChange(t, "nowDraining", "b")
	n.awaitStatus(t, "/once/x", http.StatusOK)
}

// TestFollowersWaitForLostOffsets guards against balancers that take the records of others which read a restored
// directory, and wait for offsets that are not there any more.
func TestFollowersWaitForLostOffsets(t *testing.T) {
	const lost = 20
	d := newDeployment(t)
	d.startUpstream("a", "g")
	d.startUpstream("b", "g")
	d.putReports("a", 2, lost)
	d.publish(1, idempotentRoute("g"))
	for range 3 {
		d.startNode()
	}
	for _, n := range d.nodes {
		n.awaitReady(t)
		n.awaitStatus(t, "/safe/warm", http.StatusOK)
	}
	require.Eventually(t, func() bool {
		return !slices.ContainsFunc(d.nodes, func(n *runningNode) bool { return n.logs.count("peer available") < len(d.nodes)-1 })
	}, 15*time.Second, 5*time.Millisecond)
	// The reader of the three has read the last record when the others have it.
	d.startUpstream("c", "g")
	for _, n := range d.nodes {
		n.awaitChange(t, "added", "c")
	}
	d.upstreamsDirectory.Restore(lost)
	d.putUpstream("b", "g", true, 2)
	for _, n := range d.nodes {
		n.awaitChange(t, "nowDraining", "b")
	}
}

// TestUpstreamsOfLostRecordsAreDropped guards against a balancer that stops using an upstream because its entry is
// missing in a restored directory: it has the time to write it again.
func TestUpstreamsOfLostRecordsAreDropped(t *testing.T) {
	d, _, n := startServing(t, idempotentRoute("g"))
	d.startUpstream("b", "g")
	d.startUpstream("gone", "g")
	n.awaitChange(t, "added", "gone")
	d.upstreamsDirectory.Restore(2)
	require.Eventually(t, func() bool { return n.logs.count("directory was restored from an older copy") > 0 }, 15*time.Second, time.Millisecond)
	d.putUpstream("b", "g", false, 1)
	n.awaitChange(t, "removed", "gone")
	require.False(t, n.loggedChange("removed", "b"))
}

// TestNewerFactsAreLost guards against a balancer that goes back to what an older copy of the directories says: an older
// configuration, or an upstream that has left since. It is restored twice.
func TestNewerFactsAreLost(t *testing.T) {
	d, _, n := startServing(t, idempotentRoute("g"))
	d.startUpstream("b", "g")
	n.awaitChange(t, "added", "b")
	for restorations := range int64(2) {
		d.putUpstream("b", "g", true, 2)
		d.upstreamsDirectory.Put("b", nil)
		d.publish(2, idempotentRoute("g"), nonIdempotentRoute("g"))
		n.awaitStatus(t, "/once/x", http.StatusOK)
		n.awaitChange(t, "removed", "b")
		d.routesDirectory.Restore(1)
		d.upstreamsDirectory.Restore(2)
		require.Eventually(t, func() bool {
			return len(n.logs.withMessage("directory was restored from an older copy")) == int(2*(restorations+1))
		}, 15*time.Second, time.Millisecond)
		require.Eventually(t, func() bool {
			return n.logs.count("ignored a configuration that is not newer than the one in force") > int(restorations)
		}, 15*time.Second, time.Millisecond)
		response, _ := n.request(t, http.MethodGet, "/once/x", fmt.Sprint("after-", restorations), 1000)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	added := slices.DeleteFunc(n.logs.withMessage("upstreams changed"), func(f log.Fields) bool {
		ids, _ := f["added"].([]string)
		return !slices.Contains(ids, "b")
	})
	require.Len(t, added, 1, "an upstream that had left was used again")
}
