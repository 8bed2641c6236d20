package carawaycart

import "time"

// SystemClock is the Clock of the machine.
type SystemClock struct{}

// NewSystemClock returns a SystemClock.
func NewSystemClock() SystemClock { return SystemClock{} }

// Now returns the machine's time.
func (SystemClock) Now() time.Time { return time.Now() }
