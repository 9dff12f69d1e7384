package cvpool_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvinstance"
	"comfreyvale/io/upstreams/cvpool"
)

// startCutting runs an upstream that sends the response to each request up to a byte and then closes the connection, with
// a reset if reset is set. The number of bytes is the request's path.
func startCutting(t *testing.T, response string, reset bool) *cvinstance.Instance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		var length int
		if _, err := fmt.Sscanf(request.Header.Get(headerNames.RequestID), "cut-%d", &length); err != nil {
			return
		}
		_, _ = io.WriteString(conn, strings.ReplaceAll(response, "ID", request.Header.Get(headerNames.RequestID))[:length])
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			_ = tcp.SetLinger(0)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return cvinstance.New("one", "g", listener.Addr().String(), "dc", 4)
}

// exchangePatiently sends a request again while no connection is had in time, as on a busy machine.
func exchangePatiently(p *cvpool.Pool, instance *cvinstance.Instance, id string) (comfreyvale.Answer, error) {
	for {
		answer, err := exchangeWithin(endlessTimeout, p, instance, id, false)
		if cvfault.KindOf(err) != comfreyvale.KindUnavailable {
			return answer, err
		}
	}
}

// TestResponsesCutAnywhere checks that a response which ends at any byte of its head or body is never taken for a whole
// one. One without a length ends with its connection, so that only its head and a reset show that it was cut.
func TestResponsesCutAnywhere(t *testing.T) {
	const body = "0123456789"
	cases := map[string]struct {
		head, body string
		// endsAnywhere is set if each part of the body is a whole body.
		endsAnywhere bool
	}{
		"a length":         {"HTTP/1.1 200 OK\r\nTest-Id: ID\r\nContent-Length: 10\r\nA: b\r\n\r\n", body, false},
		"a length first":   {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nTest-Id: ID\r\n\r\n", body, false},
		"chunks":           {"HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n", false},
		"chunks, trailers": {"HTTP/1.1 200 OK\r\nTest-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n" + body + "\r\n0\r\nA: b\r\n\r\n", false},
		"no length":        {"HTTP/1.1 200 OK\r\nTest-Id: ID\r\nA: b\r\n\r\n", body, true},
		"HTTP/1.0":         {"HTTP/1.0 200 OK\r\nTest-Id: ID\r\n\r\n", body, true},
		"after an interim": {"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: ID\r\n\r\n", body, true},
		"after a continue": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: ID\r\nContent-Length: 10\r\n\r\n", body, false},
		"a rejection":      {"HTTP/1.1 503 Service Unavailable\r\nTest-Not-Run: 1\r\nContent-Length: 2\r\n\r\n", "no", false},
		"bare line feeds":  {"HTTP/1.1 200 OK\nTest-Id: ID\nContent-Length: 10\n\n", body, false},
		"no length, feeds": {"HTTP/1.1 200 OK\nTest-Id: ID\n\n", body, true},
	}
	for name, c := range cases {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", name, reset), func(t *testing.T) {
				p := newPool()
				defer p.Close()
				instance := startCutting(t, c.head+c.body, reset)
				// The ID of a request takes the place of "ID" in the response.
				const longer = len("cut-00") - len("ID")
				head, whole := len(c.head), len(c.head)+len(c.body)
				if strings.Contains(c.head, "ID") {
					head, whole = head+longer, whole+longer
				}
				require.Less(t, whole, 100, "the ID has two digits")
				for length := range whole {
					answer, err := exchangePatiently(p, instance, fmt.Sprintf("cut-%02d", length))
					if c.endsAnywhere && length >= head && !reset {
						require.NoError(t, err)
						require.Equal(t, body[:length-head], string(answer.Body()))
						continue
					}
					require.Equal(t, comfreyvale.KindUncertain, cvfault.KindOf(err), "cut after %d bytes: %v", length, err)
				}
			})
		}
	}
}
