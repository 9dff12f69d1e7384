// Package cvtcptimeout provides the TCP user timeout for dialers.
package cvtcptimeout

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control returns a function for net.Dialer.Control that sets TCP_USER_TIMEOUT to timeout, truncated to milliseconds.
// The kernel breaks the connection if sent data or keep-alive probes stay unacknowledged for longer.
func Control(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		setTimeout := func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		}
		if controlErr := c.Control(setTimeout); controlErr != nil {
			return controlErr
		}
		return err
	}
}
