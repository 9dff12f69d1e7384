package cvhttpserver_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreyvale/core/cvlimits"
	"comfreyvale/io/callers/cvhttpserver"
)

// recordedConn sends the name of each call that follows CloseWrite to events.
type recordedConn struct {
	*net.TCPConn
	events chan string
	ended  chan struct{}
}

func (c *recordedConn) CloseWrite() error {
	close(c.ended)
	return c.TCPConn.CloseWrite()
}

func (c *recordedConn) record(name string) {
	select {
	case <-c.ended:
		c.events <- name
	default:
	}
}

func (c *recordedConn) Read(p []byte) (int, error) {
	c.record("read")
	return c.TCPConn.Read(p)
}

// WriteTo replaces that of TCPConn, which io.Copy prefers to Read.
func (c *recordedConn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}

func (c *recordedConn) Close() error {
	c.record("close")
	return c.TCPConn.Close()
}

type recordingListener struct {
	net.Listener
	events chan string
}

func (l *recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &recordedConn{TCPConn: conn.(*net.TCPConn), events: l.events, ended: make(chan struct{})}, nil
}

// TestLinger guards against a connection that is closed before the input behind its last request was read: the reset
// may destroy the response.
func TestLinger(t *testing.T) {
	cases := map[string]string{
		"closed by the caller's request": "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
		"refused request":                "GET /a HTTP/1.1\r\nBroken\r\n\r\n",
	}
	for name, request := range cases {
		t.Run(name, func(t *testing.T) {
			g := newGate()
			s := &cvhttpserver.Server{
				Handle: g.handle, Repeatable: func(*http.Request) bool { return true },
				Limits: cvlimits.Default, OnRefused: func(string, int, error) {}, Memory: newMemory(),
			}
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer inner.Close()
			listener := &recordingListener{Listener: inner, events: make(chan string, 100)}
			go s.Serve(listener)
			conn, reader := dial(t, inner.Addr().String())
			_, err = conn.Write([]byte(request))
			require.NoError(t, err)
			read(t, reader)
			require.Equal(t, "read", <-listener.events)
			conn.Close()
		})
	}
}

// TestCallerGoneBehindInput guards against a caller that leaves unnoticed because it has sent more behind its last
// request.
func TestCallerGoneBehindInput(t *testing.T) {
	_, g, address := serve(t, cvlimits.Default())
	conn, _ := dial(t, address)
	_, err := conn.Write([]byte("GET /held HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/more")))
	require.NoError(t, err)
	require.Equal(t, "/held", <-g.started)
	conn.Close()
	select {
	case path := <-g.ended:
		require.Equal(t, "/held", path)
	case <-time.After(30 * time.Second):
		require.Fail(t, "the request still runs")
	}
}
