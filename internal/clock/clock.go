// Package clock provides a clock that also advances while the machine is
// suspended. Go's monotonic clock stops during that time, so a lease that is
// measured with it would be held for longer than it was granted.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the current time plus the total time that the machine was
// suspended since it booted. Only the difference of two results is meaningful.
func Now() time.Time {
	return time.Now().Add(suspended())
}

// Since returns the time that has passed since t, a result of Now.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// suspended returns how long the machine was suspended since it booted. If a
// clock cannot be read it returns zero, which is correct for machines that are
// never suspended.
func suspended() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	// The two clocks are read some microseconds apart. Truncating to whole
	// milliseconds keeps this error out of differences.
	return time.Duration(boot.Nano() - monotonic.Nano()).Truncate(time.Millisecond)
}
