package cvbalancer_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStopAnswersCalls guards against calls that are cut without an answer at the end of a planned stop: those that wait
// for a slot are refused as not run after half of the time, late ones at once, and those that run get an answer.
func TestStopAnswersCalls(t *testing.T) {
	const (
		lag, limit = 3 * time.Second, time.Second
		half       = (lag + limit) / 2
		calls      = 8
	)
	s := newSystemWith(t, 1, 1, "slots: 2\nconnections: 16\ntimeout: 20s\nejectFailures: 1000\n", fmt.Sprintf("stop: {lag: %s, limit: %s}\n", lag, limit))
	s.setFault(0, `{"stallMs":5000}`)
	replies := make(chan reply, calls)
	for n := range calls {
		go func() { replies <- s.send(0, http.MethodPost, fmt.Sprint("/orders/", n), nil) }()
	}
	s.awaitRunning(0)
	stoppedAt := time.Now()
	var stopped sync.WaitGroup
	stopped.Go(s.stops[0])
	statuses := make(map[string]int)
	for range calls {
		r := <-replies
		require.NoError(t, r.err)
		after := time.Since(stoppedAt)
		statuses[fmt.Sprint(r.status, " ", r.header.Get("Comfreyvale-Ran"))]++
		require.Equal(t, r.status == http.StatusServiceUnavailable, after < half+limit/2, "status %d after %s", r.status, after)
		if len(replies) == 0 && after < lag-limit/2 {
			late := s.send(0, http.MethodPost, "/orders/late", nil)
			require.NoError(t, late.err)
			require.Equal(t, http.StatusServiceUnavailable, late.status, late.body)
			require.Equal(t, "no", late.header.Get("Comfreyvale-Ran"))
			require.NotEmpty(t, late.header.Get("Retry-After"))
		}
	}
	stopped.Wait()
	require.Equal(t, map[string]int{"503 no": calls - 2, "502 unknown": 2}, statuses)
	s.setFault(0, `{}`)
}
