package directory_test

import (
	"net/netip"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/directory"
)

var start = time.Unix(1000, 0)

func lifetime(id string, startedAt int64, address string) *carawaycart.Lifetime {
	return &carawaycart.Lifetime{
		ID: carawaycart.EndpointID(id), StartedAt: carawaycart.UnixMillis(startedAt), Service: "desk",
		Address: netip.MustParseAddrPort(address),
	}
}

func contents(lifetimes ...*carawaycart.Lifetime) *directory.Contents {
	return &directory.Contents{Lifetimes: lifetimes}
}

// presence returns the presence of a lifetime, and false if it is not tracked.
func presence(tracker *directory.LifetimeTracker, id string, startedAt int64) (directory.Presence, bool) {
	var found *directory.TrackedLifetime
	tracker.ForEach(func(s *directory.TrackedLifetime) {
		if s.Lifetime.Key() == (carawaycart.LifetimeKey{ID: carawaycart.EndpointID(id), StartedAt: carawaycart.UnixMillis(startedAt)}) {
			found = s
		}
	})
	if found == nil {
		return 0, false
	}
	return found.Presence, true
}

// A running endpoint must not count as ended because the store failed, nor an
// ended one as running because its entry or address is still in use.
func TestPresence(t *testing.T) {
	one, two := lifetime("i-1", 1, "10.0.0.1:80"), lifetime("i-2", 1, "10.0.0.2:80")
	for _, test := range []struct {
		name  string
		steps func(*directory.LifetimeTracker)
		want  directory.Presence
	}{
		{"listed", func(tracker *directory.LifetimeTracker) { tracker.ApplyContents(contents(one), start) }, directory.Present},
		{"absent while the store answers", func(tracker *directory.LifetimeTracker) {
			tracker.ApplyContents(contents(one, two), start)
			tracker.ApplyContents(contents(two), start.Add(time.Second))
		}, directory.Ended},
		{"absent after a store failure", func(tracker *directory.LifetimeTracker) {
			tracker.ApplyContents(contents(one, two), start)
			tracker.RecordStoreFailure(start.Add(time.Second))
			tracker.ApplyContents(contents(two), start.Add(2*time.Second))
		}, directory.Lapsed},
		{"reappeared after a store failure", func(tracker *directory.LifetimeTracker) {
			tracker.ApplyContents(contents(one), start)
			tracker.RecordStoreFailure(start.Add(time.Second))
			tracker.ApplyContents(contents(), start.Add(2*time.Second))
			tracker.ApplyContents(contents(one), start.Add(4*time.Second))
		}, directory.Present},
		{"absent beyond the grace period after a store failure", func(tracker *directory.LifetimeTracker) {
			tracker.ApplyContents(contents(one), start)
			tracker.RecordStoreFailure(start.Add(time.Second))
			tracker.ApplyContents(contents(), start.Add(2*time.Second))
			tracker.Tick(start.Add(4500 * time.Millisecond))
		}, directory.Ended},
		{"absent while the store keeps failing", func(tracker *directory.LifetimeTracker) {
			tracker.ApplyContents(contents(one), start)
			tracker.RecordStoreFailure(start.Add(time.Second))
			tracker.ApplyContents(contents(), start.Add(2*time.Second))
			tracker.RecordStoreFailure(start.Add(4 * time.Second))
			tracker.Tick(start.Add(5 * time.Second))
		}, directory.Lapsed},
		{"restarted under the same id", func(tracker *directory.LifetimeTracker) {
			tracker.ApplyContents(contents(one), start)
			tracker.ApplyContents(contents(lifetime("i-1", 2, "10.0.0.1:80")), start.Add(time.Second))
		}, directory.Ended},
		{"address reassigned", func(tracker *directory.LifetimeTracker) {
			tracker.ApplyContents(contents(one), start)
			tracker.RecordStoreFailure(start.Add(time.Second))
			tracker.ApplyContents(contents(lifetime("i-9", 7, "10.0.0.1:80")), start.Add(2*time.Second))
		}, directory.Ended},
		{"address claimed by another entry while listed", func(tracker *directory.LifetimeTracker) {
			tracker.ApplyContents(contents(one), start)
			tracker.ApplyContents(contents(one, lifetime("i-9", 7, "10.0.0.1:80")), start.Add(2*time.Second))
			tracker.Tick(start.Add(time.Minute))
		}, directory.Lapsed},
		{"address no longer claimed by another entry", func(tracker *directory.LifetimeTracker) {
			tracker.ApplyContents(contents(one), start)
			tracker.ApplyContents(contents(one, lifetime("i-9", 7, "10.0.0.1:80")), start.Add(2*time.Second))
			tracker.ApplyContents(contents(one), start.Add(3*time.Second))
		}, directory.Present},
		{"entry removed after another claimed the address", func(tracker *directory.LifetimeTracker) {
			tracker.ApplyContents(contents(one), start)
			tracker.ApplyContents(contents(one, lifetime("i-9", 7, "10.0.0.1:80")), start.Add(2*time.Second))
			tracker.ApplyContents(contents(lifetime("i-9", 7, "10.0.0.1:80")), start.Add(3*time.Second))
		}, directory.Ended},
	} {
		tracker := directory.NewLifetimeTracker()
		test.steps(tracker)
		if got, ok := presence(tracker, "i-1", 1); !ok || got != test.want {
			t.Errorf("%s: got presence %d (tracked %t), want %d", test.name, got, ok, test.want)
		}
	}
}

// The token of an ended lifetime must stay known for as long as its flows may
// last, which is 60 s.
func TestEndedLifetimeIsRetained(t *testing.T) {
	tracker := directory.NewLifetimeTracker()
	tracker.ApplyContents(contents(lifetime("i-1", 1, "10.0.0.1:80")), start)
	tracker.ApplyContents(contents(), start.Add(time.Second))
	tracker.Tick(start.Add(61 * time.Second))
	if got, ok := presence(tracker, "i-1", 1); !ok || got != directory.Ended {
		t.Errorf("got presence %d (tracked %t), want ended and tracked after 60 s", got, ok)
	}
	tracker.Tick(start.Add(2 * time.Minute))
	if _, ok := presence(tracker, "i-1", 1); ok {
		t.Error("an ended lifetime was not removed after 2 min")
	}
}

// The remaining cold time counts from when an entry was written, so reading the
// same entry again must not extend it.
func TestRereadDoesNotExtendColdTime(t *testing.T) {
	l := lifetime("i-1", 1, "10.0.0.1:80")
	l.ColdRemaining = 2 * time.Second
	c := contents(l)
	c.Revisions = map[carawaycart.LifetimeKey]carawaycart.StoreRevision{l.Key(): 5}
	tracker := directory.NewLifetimeTracker()
	tracker.ApplyContents(c, start)
	tracker.ApplyContents(c, start.Add(time.Second))
	tracker.ForEach(func(s *directory.TrackedLifetime) {
		if want := start.Add(2 * time.Second); !s.ColdUntil.Equal(want) {
			t.Errorf("got cold until %v, want %v", s.ColdUntil, want)
		}
	})
}

// An instance that has just started does not know the lifetimes that ended
// before, though packets of their flows still arrive; it learns them from peers.
func TestEndedLifetimesOfPeersAreRecorded(t *testing.T) {
	one, two := lifetime("i-1", 1, "10.0.0.1:80"), lifetime("i-2", 1, "10.0.0.2:80")
	running := directory.NewLifetimeTracker()
	running.ApplyContents(contents(one, two), start)
	running.ApplyContents(contents(two), start.Add(time.Second))
	restarted := directory.NewLifetimeTracker()
	restarted.ApplyContents(contents(two), start.Add(2*time.Second))
	if !restarted.RecordEnded(append(running.EndedLifetimes(), directory.EndedLifetime{Lifetime: carawaycart.Lifetime{ID: two.ID, StartedAt: two.StartedAt}}), start.Add(2*time.Second)) {
		t.Error("got no lifetime reported as new, want i-1")
	}
	if got, ok := presence(restarted, "i-1", 1); !ok || got != directory.Ended {
		t.Errorf("i-1: got presence %d (tracked %t), want ended", got, ok)
	}
	if got, _ := presence(restarted, "i-2", 1); got != directory.Present {
		t.Errorf("i-2: got presence %d, want present, as its entry exists", got)
	}
	if restarted.RecordEnded(running.EndedLifetimes(), start.Add(3*time.Second)) {
		t.Error("got lifetimes reported as new that were already tracked")
	}
}

// An endpoint has restarted under its ID, and a late or foreign write puts an older start
// back into its entry. Guards against ending the lifetime that runs, against flows to the
// one before, and against waiting for ever for an entry that does not return.
func TestOlderStartDoesNotEndNewerLifetime(t *testing.T) {
	for _, test := range []struct {
		name  string
		start int64
	}{{"older start", 5}, {"no start", 0}} {
		tracker := directory.NewLifetimeTracker()
		tracker.ApplyContents(contents(lifetime("i-1", 7, "10.0.0.1:80")), start)
		tracker.ApplyContents(contents(lifetime("i-1", test.start, "10.0.0.1:80")), start.Add(time.Second))
		if got, ok := presence(tracker, "i-1", 7); !ok || got == directory.Ended {
			t.Errorf("%s: got presence %d (tracked %t) of the newer lifetime, want it not ended", test.name, got, ok)
		}
		if got, _ := presence(tracker, "i-1", test.start); got != directory.Ended {
			t.Errorf("%s: got presence %d of the older lifetime, want it ended", test.name, got)
		}
		for n := range 4 {
			tracker.ApplyContents(contents(lifetime("i-1", test.start, "10.0.0.1:80")), start.Add(time.Duration(2+n)*time.Second))
		}
		if got, _ := presence(tracker, "i-1", test.start); got != directory.Present {
			t.Errorf("%s: got presence %d of the lifetime that is listed for 4 s, want it present", test.name, got)
		}
	}
}

// An entry of another writer claims the address of an endpoint, whose own entry then
// expires in an outage of the store. Guards against ending the lifetime without the grace
// period in which the entry returns.
func TestClaimedAddressDoesNotEndLapsedLifetime(t *testing.T) {
	one, claim := lifetime("i-1", 1, "10.0.0.1:80"), lifetime("i-9", 7, "10.0.0.1:80")
	tracker := directory.NewLifetimeTracker()
	tracker.ApplyContents(contents(one), start)
	tracker.ApplyContents(contents(one, claim), start.Add(time.Second))
	tracker.RecordStoreFailure(start.Add(2 * time.Second))
	tracker.ApplyContents(contents(claim), start.Add(3*time.Second))
	if got, ok := presence(tracker, "i-1", 1); !ok || got == directory.Ended {
		t.Errorf("got presence %d (tracked %t) 1 s after the store failed, want it not ended", got, ok)
	}
}

// An endpoint has ended, and an entry of another writer under its ID comes and goes in an
// outage of the store. Guards against new flows to the endpoint.
func TestEndedLifetimeDoesNotLapse(t *testing.T) {
	tracker := directory.NewLifetimeTracker()
	tracker.ApplyContents(contents(lifetime("i-1", 1, "10.0.0.1:80")), start)
	tracker.ApplyContents(contents(), start.Add(time.Second))
	foreign := contents()
	foreign.Unconfigured = map[carawaycart.EndpointID]bool{"i-1": true}
	tracker.ApplyContents(foreign, start.Add(2*time.Second))
	tracker.RecordStoreFailure(start.Add(3 * time.Second))
	tracker.ApplyContents(contents(), start.Add(4*time.Second))
	if got, _ := presence(tracker, "i-1", 1); got != directory.Ended {
		t.Errorf("got presence %d, want the lifetime to stay ended", got)
	}
}
