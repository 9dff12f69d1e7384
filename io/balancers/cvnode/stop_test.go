package cvnode_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/standins/cvfaulty"
)

// The times of the balancers in these tests. Nobody expects new connections at the end of the notice, but callers may
// still have some.
const (
	stopGrace  = 4 * time.Second
	stopNotice = 3500 * time.Millisecond
	// stopLate is when requests come late: after half of the grace period.
	stopLate = 2400 * time.Millisecond
)

// startStopping starts a balancer and an upstream, and begins to stop the balancer once before has returned.
func startStopping(t *testing.T, before func(d *deployment, u *cvfaulty.Upstream, n *runningNode)) (u *cvfaulty.Upstream, n *runningNode, stoppedAt time.Time) {
	d := newDeployment(t)
	d.stopGrace, d.stopNotice = stopGrace, stopNotice
	u = d.startUpstream("a", "g")
	route := testRoute{Prefix: "/once/", Timeout: time.Minute, Attempts: 2, Splits: map[string]float64{"g": 1}}
	safe := route
	safe.Prefix, safe.Idempotent = "/safe/", true
	d.publish(1, route, safe)
	n = d.startNode()
	n.awaitReady(t)
	n.awaitStatus(t, "/safe/warm", http.StatusOK)
	before(d, u, n)
	n.stop()
	return u, n, time.Now()
}

// late waits until requests come late.
func late(stoppedAt time.Time) { time.Sleep(time.Until(stoppedAt.Add(stopLate))) }

// result is a response to a request that was sent in the background.
type result struct {
	status     int
	retryAfter string
	arrived    time.Time
	err        error
}

// send sends an order in two parts, the second after a wait, and returns its response.
func send(n *runningNode, id string, timeout, wait time.Duration) <-chan result {
	done := make(chan result, 1)
	go func() {
		var r result
		defer func() { done <- r }()
		conn, err := net.Dial("tcp", n.address)
		if err != nil {
			r.err = err
			return
		}
		defer conn.Close()
		if _, r.err = fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: h\r\nTest-Id: %s\r\nTest-Deadline: %d\r\nContent-Length: 4\r\n\r\nbo", id, timeout.Milliseconds()); r.err != nil {
			return
		}
		rest := time.AfterFunc(wait, func() { fmt.Fprint(conn, "dy") })
		defer rest.Stop()
		var response *http.Response
		if response, r.err = http.ReadResponse(bufio.NewReader(conn), nil); r.err == nil {
			r.status, r.retryAfter, r.arrived = response.StatusCode, response.Header.Get("Retry-After"), time.Now()
			response.Body.Close()
		}
	}()
	return done
}

// requireRefused checks that a request was refused within a time, as one that did not run, with a time to return.
func requireRefused(t *testing.T, u *cvfaulty.Upstream, id string, r result, by time.Time) {
	require.NoError(t, r.err)
	require.Equal(t, http.StatusServiceUnavailable, r.status)
	seconds, err := strconv.ParseFloat(r.retryAfter, 64)
	require.NoError(t, err)
	require.Positive(t, seconds)
	require.True(t, r.arrived.Before(by), "the refusal came %s too late", r.arrived.Sub(by))
	require.Zero(t, u.RunCount(id))
}

// TestLateRequests guards against requests that come late in a planned stop, are passed on, and are cut at its end: those
// that may not end in time are refused before, those that do are served.
func TestLateRequests(t *testing.T) {
	const long = 30 * time.Second
	u, n, stoppedAt := startStopping(t, func(_ *deployment, _ *cvfaulty.Upstream, _ *runningNode) {})
	early := send(n, "early", long, 0)
	require.Equal(t, http.StatusOK, (<-early).status)
	half := send(n, "half", long, time.Until(stoppedAt.Add(stopLate)))
	late(stoppedAt)
	sent := time.Now()
	inTime, tooLong := send(n, "in time", time.Second, 0), send(n, "too long", long, 0)
	require.Equal(t, http.StatusOK, (<-inTime).status)
	requireRefused(t, u, "too long", <-tooLong, sent.Add(time.Second))
	requireRefused(t, u, "half", <-half, sent.Add(time.Second))
	require.Equal(t, 1, u.RunCount("in time"))
}

// TestLongRequestsGetAnswers guards against requests that are cut without an answer at the end of a planned stop.
func TestLongRequestsGetAnswers(t *testing.T) {
	const long = 30 * time.Second
	var running, unfinished <-chan result
	u, _, stoppedAt := startStopping(t, func(_ *deployment, u *cvfaulty.Upstream, n *runningNode) {
		u.SetMode(cvfaulty.ModeHang, false)
		running = send(n, "running", long, 0)
		unfinished = send(n, "unfinished", long, long)
		require.Eventually(t, func() bool { return u.RunCount("running") == 1 }, 10*time.Second, time.Millisecond)
	})
	r := <-running
	require.NoError(t, r.err)
	require.Equal(t, http.StatusBadGateway, r.status)
	require.Greater(t, r.arrived.Sub(stoppedAt), stopGrace*3/4, "the request was ended early")
	r = <-unfinished
	require.NoError(t, r.err)
	require.Equal(t, http.StatusRequestTimeout, r.status)
	require.Zero(t, u.RunCount("unfinished"))
}

// TestWaitingRequestsAreRefused guards against requests that wait for a slot in a planned stop until they are cut, or get
// one so late that they are cut at the upstream: those that may not end in time are refused after half of the time.
func TestWaitingRequestsAreRefused(t *testing.T) {
	const long = 30 * time.Second
	const requests = 12
	sent := make(map[string]<-chan result)
	u, _, stoppedAt := startStopping(t, func(_ *deployment, u *cvfaulty.Upstream, n *runningNode) {
		before := u.TotalRuns()
		u.SetMode(cvfaulty.ModeHang, false)
		for i := range requests {
			id := fmt.Sprint("long-", i)
			sent[id] = send(n, id, long, 0)
		}
		// Any of them may get the slots.
		require.Eventually(t, func() bool { return u.TotalRuns() > before }, 10*time.Second, time.Millisecond)
	})
	refused := 0
	for id, done := range sent {
		r := <-done
		if u.RunCount(id) == 0 {
			requireRefused(t, u, id, r, stoppedAt.Add(stopLate+time.Second/2))
			refused++
			continue
		}
		require.NoError(t, r.err)
		require.Equal(t, http.StatusBadGateway, r.status)
	}
	require.Positive(t, refused)
	require.Less(t, refused, requests)
}
