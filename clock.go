package carawaycart

import (
	"time"

	"golang.org/x/sys/unix"
)

// SystemClock is a Clock that returns the wall-clock time of the system.
type SystemClock struct{}

// NewSystemClock returns a SystemClock.
func NewSystemClock() SystemClock { return SystemClock{} }

// Now returns the current wall-clock time.
func (SystemClock) Now() time.Time { return time.Now() }

// MonotonicClock is a monotonic Clock: it never jumps, and it advances also while the
// machine is suspended. Only the differences between its times are meaningful.
type MonotonicClock struct{}

// NewMonotonicClock returns a MonotonicClock.
func NewMonotonicClock() MonotonicClock { return MonotonicClock{} }

// Now returns the Unix epoch plus the time since boot, or the wall-clock time if
// the boot-time clock cannot be read.
func (MonotonicClock) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}
