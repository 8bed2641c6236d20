package directory_test

import (
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/directory"
)

// Guards against new flows at their usual rate to an endpoint that has started again or
// become cold, until the next read, and against updates for entries that limit no flows.
func TestIsUrgent(t *testing.T) {
	cold := func(startedAt int64, remaining time.Duration) *carawaycart.Lifetime {
		l := lifetime("i-1", startedAt, "10.0.0.1:80")
		l.ColdRemaining = remaining
		return l
	}
	for _, test := range []struct {
		name  string
		known *carawaycart.Lifetime
		after time.Duration // from the entry of known to that of next
		next  *carawaycart.Lifetime
		want  bool
	}{
		{"started again", cold(5, 0), time.Second, cold(6, 2*time.Second), true},
		{"started again, not cold", cold(5, 0), time.Second, cold(6, 0), true},
		{"earlier start", cold(5, 0), time.Second, cold(4, 2*time.Second), false},
		{"became cold", cold(5, 0), time.Second, cold(5, 2*time.Second), true},
		{"cold as known", cold(5, 2*time.Second), 1200 * time.Millisecond, cold(5, 810*time.Millisecond), false},
		{"cold for longer", cold(5, 2*time.Second), 1200 * time.Millisecond, cold(5, 2*time.Second), true},
		{"no longer cold", cold(5, 2*time.Second), 2 * time.Second, cold(5, 0), false},
		{"another endpoint", lifetime("i-2", 5, "10.0.0.2:80"), time.Second, cold(6, 2*time.Second), false},
	} {
		tracker := directory.NewLifetimeTracker()
		c := contents(test.known)
		c.Revisions = map[carawaycart.LifetimeKey]carawaycart.StoreRevision{test.known.Key(): 9}
		tracker.ApplyContents(c, start)
		if got := tracker.IsUrgent(test.next, start.Add(test.after)); got != test.want {
			t.Errorf("%s: got urgent %t, want %t", test.name, got, test.want)
		}
	}
}

// The entry of an endpoint left the store, and it starts again. Guards against an update for
// an endpoint that gets no flows.
func TestStartOfEndedEndpointIsNotUrgent(t *testing.T) {
	tracker := directory.NewLifetimeTracker()
	tracker.ApplyContents(contents(lifetime("i-1", 5, "10.0.0.1:80")), start)
	tracker.ApplyContents(contents(), start.Add(time.Second))
	if tracker.IsUrgent(lifetime("i-1", 6, "10.0.0.1:80"), start.Add(2*time.Second)) {
		t.Error("got the start of an ended endpoint urgent")
	}
}
