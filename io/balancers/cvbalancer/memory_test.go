package cvbalancer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// TestRequestBodiesExceedMemory guards against request bodies that together take more memory than is meant for them: a
// request that finds no room is refused unrun, and accepted when there is room again.
func TestRequestBodiesExceedMemory(t *testing.T) {
	const held, memory = 1 << 20, "requestMemory: 6MiB\n"
	s := newSystemWith(t, 1, 1, "requestLimit: 16MiB\ntimeout: 1m\n", memory)
	send := func(size int, work string) (status int, cause, ran string) {
		response, err := s.client.Do(s.order(t, size, work))
		require.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		_, cause, _ = strings.Cut(string(body), `"cause":"`)
		cause, _, _ = strings.Cut(cause, `"`)
		return response.StatusCode, cause, response.Header.Get("Comfreyvale-Ran")
	}
	// The first request holds its memory as long as its last byte is missing. It is sent again if it was refused itself,
	// as the balancer read its end after another request.
	conn, answer := s.sendMostOf(t, held)
	require.Eventually(t, func() bool {
		if answered(conn, answer) {
			conn.Close()
			conn, answer = s.sendMostOf(t, held)
		}
		status, cause, ran := send(held, "1")
		return status == http.StatusServiceUnavailable && cause == "memoryFull" && ran == "no" && !answered(conn, answer)
	}, 20*time.Second, time.Millisecond)
	defer conn.Close()
	status, _, _ := send(1000, "1")
	require.Equal(t, http.StatusOK, status, "small ones have room")
	_, err := conn.Write([]byte("x"))
	require.NoError(t, err)
	response, err := http.ReadResponse(answer, nil)
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Eventually(t, func() bool {
		status, _, _ := send(held, "1")
		return status == http.StatusOK
	}, 20*time.Second, time.Millisecond)
}

// sendMostOf sends a request with a body of a size, except for its last byte.
func (s *system) sendMostOf(t *testing.T, size int) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", s.callerAddresses[0])
	require.NoError(t, err)
	fmt.Fprintf(conn, "POST /orders?workMs=1 HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-1))
	return conn, bufio.NewReader(conn)
}

// answered reports whether the balancer has answered a request or closed its connection.
func answered(conn net.Conn, answer *bufio.Reader) bool {
	_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer conn.SetReadDeadline(time.Time{})
	_, err := answer.Peek(1)
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// order returns a request with a body of a size and a work time in milliseconds.
func (s *system) order(t *testing.T, size int, work string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.callerAddresses[0]+"/orders?workMs="+work, strings.NewReader(strings.Repeat("x", size)))
	require.NoError(t, err)
	request.Host = "h.example"
	return request
}
