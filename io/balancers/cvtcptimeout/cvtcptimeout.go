// Package cvtcptimeout provides the TCP user timeout for dialers.
package cvtcptimeout

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control returns a net.Dialer.Control function that sets TCP_USER_TIMEOUT in whole milliseconds. The kernel breaks a
// connection on which sent data or keep-alive probes stay unacknowledged for longer.
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
