package node

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the host booted, including the time that it was
// suspended. The monotonic clock of the Go runtime excludes that time: with it, a leader
// whose host was suspended would rely on a lease that has expired.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has had this clock since 2.6.39. Without it no lease can be relied on.
		panic(err)
	}
	return time.Duration(t.Nano())
}
