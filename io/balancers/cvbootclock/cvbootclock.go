// Package cvbootclock provides a clock that neither jumps nor stops while the machine is suspended.
package cvbootclock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspensions included. Go's monotonic clock leaves these out.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only on kernels before 2.6.39 or with an invalid address.
		panic(fmt.Sprintf("read the boot clock: %v", err))
	}
	return time.Duration(t.Nano())
}
