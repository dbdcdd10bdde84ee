// Package clock tells the time so that differences also count the time during
// which the machine was suspended. Go's monotonic clock stands still then, and
// a lease measured by it would outlive its end.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the present time, moved ahead by the time that the machine was
// suspended since its boot. Only differences of its results mean anything.
func Now() time.Time {
	return time.Now().Add(suspended())
}

// Since returns the time since t, a result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// suspended returns how long the machine was suspended since its boot. Where a
// clock cannot be read it is zero, which is right on machines that are never
// suspended.
func suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	// The two readings are some microseconds apart; whole milliseconds keep
	// that out of differences.
	return time.Duration(boot.Nano() - monotonic.Nano()).Truncate(time.Millisecond)
}
