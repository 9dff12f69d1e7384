package cvnode_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"comfreyvale/io/standins/cvfaulty"
	"comfreyvale/io/standins/cvmemdirectory"
)

// awaitUnused waits until a balancer has read that an upstream is draining, and requests do not reach it anymore.
func (r *runningNode) awaitUnused(t *testing.T, u *cvfaulty.Upstream) {
	require.Eventually(t, func() bool {
		return slices.ContainsFunc(r.logs.withMessage("upstreams changed"), func(f log.Fields) bool {
			draining, _ := f["nowDraining"].([]string)
			return slices.Contains(draining, u.ID)
		})
	}, 30*time.Second, time.Millisecond)
	require.Eventually(t, func() bool {
		before := u.TotalRuns()
		for i := range 10 {
			r.request(t, http.MethodGet, "/safe/x", fmt.Sprint("unused", i), 1000)
		}
		return u.TotalRuns() == before
	}, 30*time.Second, time.Millisecond)
}

// TestColdStartBesideOddEntry guards against an entry of another writer that keeps a balancer from starting while it
// cannot read the directories: its peers could not send it their state.
func TestColdStartBesideOddEntry(t *testing.T) {
	d := newDeployment(t)
	d.startUpstream("a", "g")
	d.publish(3, idempotentRoute("g"))
	d.upstreamsDirectory.Put("i\xff", fmt.Appendf(nil, "g %s false 1 1", d.addresses["a"]))
	d.upstreamsDirectory.Put("far", fmt.Appendf(nil, "g 127.0.0.1:99999 false 1 1"))
	d.startNode().awaitReady(t)
	routes, upstreams := cvmemdirectory.New(), cvmemdirectory.New()
	routes.SetDown(true)
	upstreams.SetDown(true)
	isolated := d.startNodeWith(routes, upstreams)
	isolated.awaitReady(t)
	isolated.awaitStatus(t, "/safe/x", http.StatusOK)
}

// TestFollowersBesideOddEntry checks that balancers that take records from others go on beside an entry whose key is no
// text, and that each invalid record is logged once.
func TestFollowersBesideOddEntry(t *testing.T) {
	d := newDeployment(t)
	a := d.startUpstream("a", "g")
	d.startUpstream("b", "g")
	d.publish(1, idempotentRoute("g"))
	for range 3 {
		d.startNode().awaitReady(t)
	}
	for range 3 {
		d.upstreamsDirectory.Put("i\xff", []byte("g 127.0.0.1:1 false 1 1"))
		d.upstreamsDirectory.Put("odd", []byte("no entry"))
	}
	d.putUpstream("a", "g", true, 2)
	for _, n := range d.nodes {
		n.awaitUnused(t, a)
		require.Empty(t, n.logs.withMessage("cannot fetch the records from the peer"))
		require.LessOrEqual(t, len(n.logs.withMessage("ignored a record whose key is no printable text")), 1)
		require.Len(t, n.logs.withMessage("ignored an invalid upstream record"), 1)
	}
}

// TestOddEntryOfRunningUpstream guards against an entry of another writer under the ID of an upstream that runs: its last
// valid report must stay in force, also after all records were read anew, and its later ones must be heard.
func TestOddEntryOfRunningUpstream(t *testing.T) {
	const future = 1 << 60
	for name, odd := range map[string]string{
		"a start in the far future": fmt.Sprintf("g 127.0.0.1:9 false %d 1", future),
		"a number that is too high": fmt.Sprintf("g 127.0.0.1:9 false 1 %d", future),
		"a port out of range":       "g 127.0.0.1:99999 false 1 2",
		"bytes":                     "\xff\x00",
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			a := d.startUpstream("a", "g")
			d.publish(1, idempotentRoute("g"))
			n := d.startNode()
			n.awaitReady(t)
			n.awaitStatus(t, "/safe/warm", http.StatusOK)
			d.upstreamsDirectory.Put("a", []byte(odd))
			d.upstreamsDirectory.LoseHistory()
			require.Eventually(t, func() bool { return len(n.logs.withMessage("ignored an invalid upstream record")) > 0 }, 30*time.Second, time.Millisecond)
			n.awaitStatus(t, "/safe/x", http.StatusOK)
			d.startUpstream("b", "g")
			d.putUpstream("a", "g", true, 3)
			n.awaitUnused(t, a)
		})
	}
}
