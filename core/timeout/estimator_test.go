package timeout

import (
	"testing"
	"time"
)

func TestTimeout(t *testing.T) {
	const initial, low, high = 40 * time.Millisecond, 20 * time.Millisecond, 150 * time.Millisecond
	for _, test := range []struct {
		name string
		took []time.Duration
		want time.Duration
	}{
		{"no answers", nil, initial},
		{"quick answers", []time.Duration{8e6, 8e6, 8e6, 8e6, 8e6, 8e6, 8e6, 8e6, 8e6, 8e6, 8e6, 8e6}, low},
		{"slow answers", []time.Duration{400e6, 400e6}, high},
	} {
		var p Estimator
		for _, d := range test.took {
			p.Observe(d)
		}
		if got := p.Timeout(initial, low, high); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}
