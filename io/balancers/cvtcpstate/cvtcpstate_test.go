package cvtcpstate_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"comfreyvale/io/balancers/cvtcpstate"
)

const (
	smallBufferBytes = 4 << 10
	// queuedBytes fit into the send buffer of one side, but not with the small receive buffer of the other.
	queuedBytes = 96 << 10
	timeout     = 10 * time.Second
)

// connect returns both ends of a connection. The receive buffer of the peer is small.
func connect(t *testing.T) (conn, peer *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBufferBytes)
	}))
	require.NoError(t, err)
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	server, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { server.Close() })
	return client.(*net.TCPConn), server.(*net.TCPConn)
}

// TestCheckEnd guards against input that counts as whole though its connection was reset behind it, or was ended before
// the peer had received everything.
func TestCheckEnd(t *testing.T) {
	cases := map[string]struct {
		written int
		end     func(conn, peer *net.TCPConn) error
		message string
	}{
		"closed in order":             {0, func(_, peer *net.TCPConn) error { return peer.Close() }, ""},
		"half-closed":                 {0, func(_, peer *net.TCPConn) error { return peer.CloseWrite() }, ""},
		"half-closed, bytes received": {1 << 10, func(_, peer *net.TCPConn) error { return peer.CloseWrite() }, ""},
		"half-closed, bytes not sent": {queuedBytes, func(_, peer *net.TCPConn) error { return peer.CloseWrite() }, "before it received everything"},
		"reset behind the end": {0, func(conn, peer *net.TCPConn) error {
			if err := peer.Close(); err != nil {
				return err
			}
			// The closed peer answers it with a reset.
			_, err := conn.Write([]byte("x"))
			return err
		}, "reset"},
		"reset, reported to a write": {0, func(conn, peer *net.TCPConn) error {
			if err := peer.SetLinger(0); err != nil {
				return err
			}
			if err := peer.Close(); err != nil {
				return err
			}
			for {
				if _, err := conn.Write([]byte("x")); err != nil {
					return nil
				}
			}
		}, "reset"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			conn, peer := connect(t)
			require.NoError(t, conn.SetDeadline(time.Now().Add(timeout)))
			_, err := conn.Write(make([]byte, c.written))
			require.NoError(t, err)
			require.NoError(t, c.end(conn, peer))
			_, err = io.ReadAll(conn)
			require.NoError(t, err, "the end of the input looks orderly")
			check := func() bool {
				err = cvtcpstate.CheckEnd(conn)
				return (err == nil) == (c.message == "")
			}
			// A reset, or an acknowledgement, may arrive a little later.
			require.Eventually(t, check, timeout, time.Millisecond, "%v", err)
			if c.message != "" {
				require.ErrorContains(t, err, c.message)
			}
		})
	}
}
