package cvpool_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvrequest"
	"comfreyvale/io/standins/cvfaulty"
	"comfreyvale/io/upstreams/cvpool"
)

// probe sends a request without an ID, as health checks are.
func probe(t *testing.T, p *cvpool.Pool, instance *cvinstance.Instance) int {
	memory := newMemory().Holder("probe")
	defer memory.Close()
	request := cvrequest.New("", http.MethodGet, "/health", "h", nil).WithDeadline(time.Now().Add(2 * time.Second))
	answer, err := p.Exchange(t.Context(), instance, 8, request, memory)
	require.NoError(t, err)
	return answer.Status()
}

// TestLateCopyOfRejection guards against a second copy of a rejection without an ID that is taken as the answer to the
// next request on the connection: the upstream runs that request, and its caller was told that it did not run.
func TestLateCopyOfRejection(t *testing.T) {
	cases := map[string]struct {
		mode   string
		status int
	}{
		"a full upstream":     {cvfaulty.ModeNotRunRepeated, http.StatusServiceUnavailable},
		"of another instance": {cvfaulty.ModeMisdirectedRepeated, http.StatusMisdirectedRequest},
	}
	for name, c := range cases {
		for first, send := range map[string]func(t *testing.T, p *cvpool.Pool, instance *cvinstance.Instance) int{
			"of a request": func(t *testing.T, p *cvpool.Pool, instance *cvinstance.Instance) int {
				answer, err := exchange(p, instance, "rejected", true)
				require.NoError(t, err)
				return answer.Status()
			},
			"of a health check": probe,
		} {
			t.Run(name+", "+first, func(t *testing.T) {
				u, instance := startUpstream(t)
				p := newPool()
				defer p.Close()
				u.SetMode(c.mode, true)
				require.Equal(t, c.status, send(t, p, instance))
				answer, err := exchange(p, instance, "next", true)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, answer.Status())
				require.Equal(t, "answer to next", string(answer.Body()))
				require.Equal(t, 1, u.RunCount("next"))
			})
		}
	}
}

// TestIdentifiedRejectionKeepsConnection checks that a rejection that carries the ID of its request does not cost a
// connection.
func TestIdentifiedRejectionKeepsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		for reader := bufio.NewReader(conn); ; {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headerNames.NotRun, headerNames.RequestID, request.Header.Get(headerNames.RequestID))
		}
	}()
	p := newPool()
	defer p.Close()
	instance := cvinstance.New("one", "g", listener.Addr().String(), "dc", 4)
	for n := range 3 {
		answer, err := exchange(p, instance, fmt.Sprint(n), true)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, answer.Status())
	}
	require.Equal(t, 1, p.OpenCount())
}
