package edge

import (
	"testing"
	"time"
)

// The process is frozen between two ticks, and reads the packets that have waited before or
// after the tick that follows. Guards against taking them for packets that have just come.
func TestPacketsOfStalledProcessHaveWaited(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name   string
		ticks  []time.Duration
		readAt time.Duration
		want   bool
	}{
		{"no stall", []time.Duration{50 * time.Millisecond, 100 * time.Millisecond}, 140 * time.Millisecond, false},
		{"late tick", []time.Duration{50 * time.Millisecond, 190 * time.Millisecond}, 195 * time.Millisecond, false},
		{"read before the tick", []time.Duration{50 * time.Millisecond}, 210 * time.Millisecond, true},
		{"read after the tick", []time.Duration{50 * time.Millisecond, time.Second}, 1001 * time.Millisecond, true},
		{"read after two ticks", []time.Duration{50 * time.Millisecond, time.Second, 1050 * time.Millisecond}, 1051 * time.Millisecond, true},
		{
			"buffer has been read",
			[]time.Duration{50 * time.Millisecond, time.Second, 1050 * time.Millisecond, 1100 * time.Millisecond},
			1101 * time.Millisecond, false,
		},
	} {
		d := newStallDetector(start)
		for _, at := range test.ticks {
			d.tick(start.Add(at))
		}
		if got := d.mayHaveWaited(start.Add(test.readAt)); got != test.want {
			t.Errorf("%s: got %t, want %t", test.name, got, test.want)
		}
	}
}
