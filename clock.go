package carawaycart

import (
	"time"

	"golang.org/x/sys/unix"
)

// SystemClock is the Clock of the machine.
type SystemClock struct{}

// NewSystemClock returns a SystemClock.
func NewSystemClock() SystemClock { return SystemClock{} }

// Now returns the machine's time.
func (SystemClock) Now() time.Time { return time.Now() }

// SteadyClock is a Clock whose times have no meaning but their differences: it
// goes on while the machine is suspended and never jumps.
type SteadyClock struct{}

// NewSteadyClock returns a SteadyClock.
func NewSteadyClock() SteadyClock { return SteadyClock{} }

// Now returns the time since the machine was started.
func (SteadyClock) Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now()
	}
	return time.Unix(t.Unix())
}
