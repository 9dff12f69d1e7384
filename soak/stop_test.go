package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/io/standins/cvfaulty"
	"comfreyvale/platform/cvformat"
)

// sendDuringStop opens a connection, sends an order whose upstream does not answer in two parts, the second after a wait,
// and returns the status of the response, or 0 if there is none.
func sendDuringStop(b *balancer, id string, wait time.Duration) int {
	conn, err := b.dial()
	if err != nil {
		return 0
	}
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /long/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 60000\r\nContent-Length: 4\r\n\r\nbo", cvformat.HeaderNames().RequestID, id, cvformat.HeaderNames().Deadline)
	if err != nil {
		return 0
	}
	rest := time.AfterFunc(wait, func() { _, _ = conn.Write([]byte("dy")) })
	defer rest.Stop()
	_ = conn.SetReadDeadline(time.Now().Add(2 * stopTimeout))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// TestOrdersDuringStop guards against orders that are sent to an upstream and cut without an answer by a planned stop:
// those that arrive before it and at any time in it, until the process is gone.
func TestOrdersDuringStop(t *testing.T) {
	const (
		subnet  = 16
		orders  = 120
		timeout = time.Minute
	)
	cl := newCluster(t, 1, subnet)
	for _, u := range cl.allUpstreams() {
		if u.group == groups[1] {
			u.SetMode(cvfaulty.ModeHang, false)
		}
	}
	cl.publishRoutes(newRoute("/safe/", groups[0], timeout).WithIdempotent(false), newRoute("/long/", groups[1], timeout))
	b := cl.balancers[0]
	cl.await("the routes are known", func() bool { return b.getStatus("/long/x", "") != http.StatusNotFound })
	random := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	var clients sync.WaitGroup
	statuses := make(map[int]int)
	for n := range orders {
		id, wait := fmt.Sprint("order-", n), time.Duration(random.Int64N(int64(stopTimeout)))
		clients.Go(func() {
			status := sendDuringStop(b, id, wait)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
			ran := cl.runCount(id)
			if ran > 0 && status != http.StatusBadGateway || ran == 0 && status == http.StatusBadGateway {
				t.Errorf("%s, whose last byte was sent after %s, ran %d times and got status %d", id, wait, ran, status)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	b.signal(syscall.SIGTERM)
	require.True(t, b.awaitExit().Success())
	clients.Wait()
	t.Logf("statuses: %v", statuses)
	require.Positive(t, statuses[http.StatusBadGateway])
	require.Positive(t, statuses[http.StatusServiceUnavailable])
}
