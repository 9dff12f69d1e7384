package cvnode_test

import (
	"bufio"
	"fmt"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// memoryInUse returns the memory of this process that the Go runtime manages and has not returned to the system.
func memoryInUse() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64() - samples[1].Value.Uint64()
}

// startEndlessUpstream runs an upstream whose answers have no end, until their connection is closed.
func startEndlessUpstream(t *testing.T) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	chunk := []byte("40000\r\n" + strings.Repeat("x", 0x40000) + "\r\n")
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n", headerNames.RequestID, request.Header.Get(headerNames.RequestID))
				for err == nil {
					_, err = conn.Write(chunk)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestAnswersWithoutEndExceedMemory guards against a balancer that takes more memory than its VM has while some upstreams
// send answers without end: the platform then kills it with all requests in progress.
func TestAnswersWithoutEndExceedMemory(t *testing.T) {
	const (
		memoryMB          = 300
		callers, requests = 4, 4
		// patience is far longer than any request takes, also on a busy machine.
		patience = time.Minute
	)
	defer debug.SetMemoryLimit(math.MaxInt64)
	d := newDeployment(t)
	d.memoryMB = memoryMB
	for u := range callers {
		id := fmt.Sprint("endless", u)
		d.addresses[id] = startEndlessUpstream(t)
		d.putUpstream(id, "bad", false, 1)
	}
	d.startUpstream("sound", "g")
	endless := testRoute{Prefix: "/endless/", Timeout: patience, Attempts: 1, Splits: map[string]float64{"bad": 1}}
	sound := testRoute{Prefix: "/safe/", Idempotent: true, Timeout: patience, Attempts: 2, Splits: map[string]float64{"g": 1}}
	d.publish(1, sound, endless)
	n := d.startNode()
	n.awaitReady(t)
	n.awaitStatus(t, "/safe/warm", http.StatusOK)
	debug.FreeOSMemory()
	before := memoryInUse()
	var group sync.WaitGroup
	for c := range callers {
		group.Go(func() {
			for r := range requests {
				response, _ := n.request(t, http.MethodPost, "/endless/x", fmt.Sprintf("e-%d-%d", c, r), int(patience.Milliseconds()))
				if response.StatusCode < http.StatusInternalServerError {
					t.Errorf("an answer without end got status %d", response.StatusCode)
				}
			}
		})
	}
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	peak := uint64(0)
	for sent := 0; ; sent++ {
		peak = max(peak, memoryInUse())
		select {
		case <-done:
			require.Less(t, peak-before, uint64(memoryMB)<<20, "peak of the memory in bytes")
			return
		case <-time.After(time.Millisecond):
		}
		if sent%20 == 0 {
			response, _ := n.request(t, http.MethodGet, "/safe/x", fmt.Sprint("sound-", sent), int(patience.Milliseconds()))
			require.Equal(t, http.StatusOK, response.StatusCode)
		}
	}
}
