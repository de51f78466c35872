package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock is the time since the host started, with the time that it slept. The
// runtime's monotonic clock leaves that out, so that a leader whose host was put
// to sleep would trust a lease that has run out.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has the clock since 2.6.39; without it no lease can be trusted.
		panic(err)
	}
	return time.Duration(t.Nano())
}
