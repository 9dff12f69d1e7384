package cvnode_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"comfreyvale"
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

// TestUpstreamGetsMoreRequestsThanItNames guards against balancers that send an upstream more requests than the limit
// that it names to them.
func TestUpstreamGetsMoreRequestsThanItNames(t *testing.T) {
	const (
		limit, balancers = 1, 3
		pause            = 15 * time.Millisecond
		// The users' bound: from settled after the first limit on, one and a half times the limit and five requests in
		// any window.
		settled, window = 3 * time.Second, 4 * time.Second
		allowed         = 3*limit*int(window/time.Second)/2 + 5
	)
	d := newDeployment(t)
	limited, other := d.startUpstream("limited", "g"), d.startUpstream("other", "g")
	limited.SetLimit(fmt.Sprint(limit))
	d.publish(1, idempotentRoute("g"))
	for range balancers {
		d.startNode().awaitReady(t)
	}
	for _, n := range d.nodes {
		n.awaitStatus(t, "/safe/warm", http.StatusOK)
	}
	end := time.Now().Add(settled + 2*window)
	var callers sync.WaitGroup
	for b, n := range d.nodes {
		callers.Go(func() {
			for sent := 0; time.Now().Before(end); sent++ {
				n.request(t, http.MethodGet, "/safe/x", fmt.Sprintf("r-%d-%d", b, sent), 1000)
				time.Sleep(pause)
			}
		})
	}
	callers.Wait()
	arrivals := limited.Arrivals()
	require.NotEmpty(t, arrivals)
	require.NotZero(t, other.TotalRuns())
	from := arrivals[0].Add(settled)
	for first, at := range arrivals {
		if at.Before(from) {
			continue
		}
		last := first
		for last < len(arrivals) && arrivals[last].Sub(at) < window {
			last++
		}
		require.LessOrEqual(t, last-first, allowed, "requests in %s from %s after the first", window, at.Sub(arrivals[0]))
	}
}

// TestRefusedByLimit checks that a request which no upstream takes in time is refused at once, and that the reason names
// the limit.
func TestRefusedByLimit(t *testing.T) {
	_, upstream, node := startServing(t, idempotentRoute("g"))
	upstream.SetLimit("0.001")
	sent := 0
	require.Eventually(t, func() bool {
		sent++
		response, _ := node.request(t, http.MethodGet, "/safe/x", fmt.Sprint("refused-", sent), 1000)
		return response.StatusCode == http.StatusServiceUnavailable
	}, 30*time.Second, 10*time.Millisecond)
	id := fmt.Sprint("refused-", sent)
	require.Equal(t, []string{"refused", "request"}, node.logs.messages(id), "it was not queued for an upstream")
	fields := node.logs.fields(id)[0]
	require.Equal(t, comfreyvale.CauseUpstreamLimit, fields["cause"])
	require.Contains(t, fields["reason"], "a takes the most, 0.001 a second, stated ")
	require.Contains(t, fields["reason"], "known from an answer")
	require.Zero(t, upstream.RunCount(id))
}

// TestLimitOfPeer checks that a balancer learns of a limit from another one.
func TestLimitOfPeer(t *testing.T) {
	d := newDeployment(t)
	limited := d.startUpstream("a", "g")
	d.publish(1, idempotentRoute("g"))
	first, second := d.startNode(), d.startNode()
	first.awaitReady(t)
	second.awaitReady(t)
	limited.SetLimit("30")
	const message = "upstream limits its requests"
	sent := 0
	require.Eventually(t, func() bool {
		sent++
		first.request(t, http.MethodGet, "/safe/x", fmt.Sprint("told-", sent), 1000)
		return len(second.logs.withMessage(message)) > 0
	}, 30*time.Second, 20*time.Millisecond)
	require.Equal(t, log.Fields{"upstream": "a", "perSecond": 30.0, "from": fmt.Sprintf("127.0.1.1:%d", d.ports[3])}, second.logs.withMessage(message)[0])
}
