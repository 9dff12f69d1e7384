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

const (
	// cutID is the format of the IDs of the requests to a cuttingUpstream: the number of bytes that it sends of its response.
	// All IDs have one length, so that it does not matter where in the response they stand.
	cutID = "cut-%02d"
	// anyCutID stands for the ID of the request in the text of a response.
	anyCutID = "cut-NN"
	// maxCutBytes is the length from which an ID would be longer.
	maxCutBytes = 100
)

// cuttingUpstream sends the beginning of a response to each request and closes the connection.
type cuttingUpstream struct {
	response string
	// reset closes connections with a reset instead of in order.
	reset bool
}

func (u *cuttingUpstream) start(t *testing.T) *cvinstance.Instance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return cvinstance.New("one", "g", listener.Addr().String(), "dc", 4)
}

func (u *cuttingUpstream) serve(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	// A connection that is closed with unread bytes would be reset.
	_, _ = io.Copy(io.Discard, request.Body)
	id := request.Header.Get(headerNames.RequestID)
	var length int
	if _, err := fmt.Sscanf(id, cutID, &length); err != nil {
		return
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(u.response, anyCutID, id)[:length])
	if u.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// exchangePatiently sends a request, again if no connection was opened in time, as on a busy machine.
func exchangePatiently(p *cvpool.Pool, instance *cvinstance.Instance, id string) (comfreyvale.Answer, error) {
	for {
		answer, err := exchangeWithin(endlessTimeout, p, instance, id, false)
		if cvfault.KindOf(err) != comfreyvale.KindUnavailable {
			return answer, err
		}
	}
}

// TestResponsesCutAnywhere checks that a response which ends at any byte of its head or body is never taken for a whole
// one. A body without a length ends with its connection, so that each beginning of it is whole unless the connection is
// reset.
func TestResponsesCutAnywhere(t *testing.T) {
	const body = "0123456789"
	cases := map[string]struct {
		head, body string
		noLength   bool
	}{
		"a length":         {"HTTP/1.1 200 OK\r\nTest-Id: cut-NN\r\nContent-Length: 10\r\nA: b\r\n\r\n", body, false},
		"a length first":   {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\nTest-Id: cut-NN\r\n\r\n", body, false},
		"chunks":           {"HTTP/1.1 200 OK\r\nTest-Id: cut-NN\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n", false},
		"chunks, trailers": {"HTTP/1.1 200 OK\r\nTest-Id: cut-NN\r\nTransfer-Encoding: chunked\r\n\r\n", "a\r\n" + body + "\r\n0\r\nA: b\r\n\r\n", false},
		"no length":        {"HTTP/1.1 200 OK\r\nTest-Id: cut-NN\r\nA: b\r\n\r\n", body, true},
		"HTTP/1.0":         {"HTTP/1.0 200 OK\r\nTest-Id: cut-NN\r\n\r\n", body, true},
		"after an interim": {"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: cut-NN\r\n\r\n", body, true},
		"after a continue": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTest-Id: cut-NN\r\nContent-Length: 10\r\n\r\n", body, false},
		"a rejection":      {"HTTP/1.1 503 Service Unavailable\r\nTest-Not-Run: 1\r\nContent-Length: 2\r\n\r\n", "no", false},
		"bare line feeds":  {"HTTP/1.1 200 OK\nTest-Id: cut-NN\nContent-Length: 10\n\n", body, false},
		"no length, feeds": {"HTTP/1.1 200 OK\nTest-Id: cut-NN\n\n", body, true},
	}
	for name, c := range cases {
		for how, reset := range map[string]bool{"closed": false, "reset": true} {
			t.Run(name+", "+how, func(t *testing.T) {
				upstream := &cuttingUpstream{response: c.head + c.body, reset: reset}
				require.Less(t, len(upstream.response), maxCutBytes)
				instance := upstream.start(t)
				p := newPool()
				defer p.Close()
				for length := range len(upstream.response) {
					answer, err := exchangePatiently(p, instance, fmt.Sprintf(cutID, length))
					if c.noLength && !reset && length >= len(c.head) {
						require.NoError(t, err)
						require.Equal(t, body[:length-len(c.head)], string(answer.Body()))
						continue
					}
					require.Equal(t, comfreyvale.KindUncertain, cvfault.KindOf(err), "cut after %d bytes: %v", length, err)
				}
			})
		}
	}
}
