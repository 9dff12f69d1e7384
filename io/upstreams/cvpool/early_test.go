package cvpool_test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale"
	"comfreyvale/core/cvfault"
	"comfreyvale/core/cvinstance"
	"comfreyvale/core/cvrequest"
	"comfreyvale/io/upstreams/cvpool"
)

// The ways in which an earlyUpstream ends a connection.
const (
	endReset     = "reset"
	endUnread    = "closed with unread bytes"
	endHalfClose = "half-closed with unread bytes"
	endInOrder   = "closed in order"
)

// earlyUpstream answers requests when it has read their heads, and ends the connection.
type earlyUpstream struct {
	response string
	end      string
}

func (u *earlyUpstream) start(t *testing.T) *cvinstance.Instance {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn.(*net.TCPConn))
		}
	}()
	return cvinstance.New("early", "g", listener.Addr().String(), "dc", 4)
}

func (u *earlyUpstream) serve(conn *net.TCPConn) {
	defer conn.Close()
	// The smallest buffer leaves most of a body unread in the kernel.
	reader := bufio.NewReaderSize(conn, 1)
	request, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	_, _ = io.WriteString(conn, strings.ReplaceAll(u.response, anyID, request.Header.Get(headerNames.RequestID)))
	switch u.end {
	case endReset:
		_ = conn.SetLinger(0)
	case endHalfClose:
		_ = conn.CloseWrite()
		time.Sleep(5 * time.Millisecond)
	case endInOrder:
		_, _ = io.Copy(io.Discard, request.Body)
	}
}

// anyID stands for the ID of the request in the text of a response.
const anyID = "ANY-ID"

const earlyHead = "HTTP/1.1 200 OK\r\nTest-Id: " + anyID + "\r\n"

type earlyResponse struct {
	response string
	method   string
	// body is the whole body, or cut if the response ends before it.
	body string
	cut  bool
	// noLength means that the response ends with its connection.
	noLength bool
}

func earlyResponses() map[string]earlyResponse {
	return map[string]earlyResponse{
		"200 without a length":      {response: earlyHead + "\r\npart", body: "part", noLength: true},
		"200 without a body byte":   {response: earlyHead + "\r\n", noLength: true},
		"413 without a length":      {response: "HTTP/1.1 413 Too Large\r\nTest-Id: " + anyID + "\r\n\r\npart", body: "part", noLength: true},
		"200 of HTTP/1.0":           {response: "HTTP/1.0 200 OK\r\nTest-Id: " + anyID + "\r\n\r\npart", body: "part", noLength: true},
		"200 without length, close": {response: earlyHead + "Connection: close\r\n\r\npart", body: "part", noLength: true},
		"200 with a length":         {response: earlyHead + "Content-Length: 4\r\n\r\nfull", body: "full"},
		"413 with a length":         {response: "HTTP/1.1 413 Too Large\r\nTest-Id: " + anyID + "\r\nContent-Length: 4\r\n\r\nfull", body: "full"},
		"200 with a length, cut":    {response: earlyHead + "Content-Length: 9\r\n\r\npart", cut: true},
		"200 in chunks":             {response: earlyHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n", body: "full"},
		"200 in chunks, cut":        {response: earlyHead + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", cut: true},
		"200 to HEAD":               {response: earlyHead + "Content-Length: 9\r\n\r\n", method: http.MethodHead},
		"200 to HEAD, no length":    {response: earlyHead + "\r\n", method: http.MethodHead},
		"304":                       {response: "HTTP/1.1 304 Not Modified\r\nTest-Id: " + anyID + "\r\nContent-Length: 9\r\n\r\n"},
		"204":                       {response: "HTTP/1.1 204 No Content\r\nTest-Id: " + anyID + "\r\n\r\n"},
	}
}

func exchangeBody(p *cvpool.Pool, instance *cvinstance.Instance, method, id string, body []byte) (comfreyvale.Answer, error) {
	deadline := time.Now().Add(oddTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	memory := newMemory().Holder("caller")
	defer memory.Close()
	for {
		request := cvrequest.New(id, method, "/", "host.example", http.Header{"Test-Id": {id}}, body)
		answer, err := p.Exchange(ctx, instance, 8, request.WithDeadline(deadline).WithNonIdempotent(true), memory)
		// On a busy machine, no connection may be opened in time.
		if cvfault.KindOf(err) != comfreyvale.KindUnavailable || ctx.Err() != nil {
			return answer, err
		}
	}
}

// TestEarlyResponses guards against responses that arrive while their request is being written, and are taken for whole
// though their connection ended otherwise than in order. Which of the two goroutines of a connection gets the error of a
// reset is up to the kernel, so the exchanges are repeated.
func TestEarlyResponses(t *testing.T) {
	const repetitions = 400
	bodies := map[string]int{"small": 100, "long": 1 << 20}
	for name, c := range earlyResponses() {
		for _, end := range []string{endReset, endUnread, endHalfClose, endInOrder} {
			for size, length := range bodies {
				t.Run(fmt.Sprintf("%s, %s, %s request", name, end, size), func(t *testing.T) {
					t.Parallel()
					instance := (&earlyUpstream{response: c.response, end: end}).start(t)
					p := newPool()
					defer p.Close()
					body := bytes.Repeat([]byte("b"), length)
					count := repetitions / 20
					if end == endReset && c.noLength {
						count = repetitions
					}
					whole := 0
					for n := range count {
						answer, err := exchangeBody(p, instance, cmp.Or(c.method, http.MethodPost), fmt.Sprint("early-", n), body)
						// The next exchange opens its own connection.
						p.Close()
						if err != nil {
							require.NotEqual(t, comfreyvale.KindTimeout, cvfault.KindOf(err))
							continue
						}
						whole++
						require.Equal(t, c.body, string(answer.Body()))
					}
					// The whole of a small request has arrived when its upstream half-closes the connection.
					arrived := end == endHalfClose && size == "small"
					switch {
					case c.cut || (c.noLength && end != endInOrder && !arrived):
						require.Zero(t, whole, "of %d exchanges", count)
					case end == endInOrder:
						require.Equal(t, count, whole)
					}
				})
			}
		}
	}
}
