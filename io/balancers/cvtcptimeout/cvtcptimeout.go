// Package cvtcptimeout makes connections break when the other side gives no sign.
package cvtcptimeout

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Control returns a dialer's control function: sent bytes, probes included, may stay unacknowledged for a time, and then the
// connection breaks.
func Control(longest time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var err error
		set := func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(longest.Milliseconds()))
		}
		if controlErr := raw.Control(set); controlErr != nil {
			return controlErr
		}
		return err
	}
}
