package edge

import (
	"testing"
	"time"
)

// Load pattern: 46 peers fetch a configuration of 60 KB from the instance that has read it.
// Guards against a link that counts as free while the replies wait, or as full for longer
// than they need.
func TestLinkLoad(t *testing.T) {
	now := time.Unix(1000, 0)
	var l linkLoad
	l.add(2000, now)
	if l.full(now) {
		t.Error("got the link full after a reply of 2 KB")
	}
	for n := range 46 {
		l.add(60_000, now.Add(time.Duration(n)*time.Millisecond))
	}
	for _, test := range []struct {
		after time.Duration
		want  bool
	}{{50 * time.Millisecond, true}, {2 * time.Second, true}, {2300 * time.Millisecond, false}} {
		if got := l.full(now.Add(test.after)); got != test.want {
			t.Errorf("after %v: got full %t, want %t", test.after, got, test.want)
		}
	}
}
