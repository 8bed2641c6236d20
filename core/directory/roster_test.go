package directory_test

import (
	"net/netip"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/directory"
)

var start = time.Unix(1000, 0)

func lifetime(id string, born int64, address string) *carawaycart.Lifetime {
	return &carawaycart.Lifetime{
		ID: carawaycart.EndpointID(id), Born: carawaycart.UnixMillis(born), Service: "desk",
		Address: netip.MustParseAddrPort(address),
	}
}

func contents(lifetimes ...*carawaycart.Lifetime) *directory.Contents {
	return &directory.Contents{Lifetimes: lifetimes}
}

func presence(r *directory.Roster, id string, born int64) (directory.Presence, bool) {
	var found *directory.Seen
	r.All(func(s *directory.Seen) {
		if s.Lifetime.Key() == (carawaycart.LifetimeKey{ID: carawaycart.EndpointID(id), Born: carawaycart.UnixMillis(born)}) {
			found = s
		}
	})
	if found == nil {
		return 0, false
	}
	return found.Presence, true
}

func TestPresence(t *testing.T) {
	one, two := lifetime("i-1", 1, "10.0.0.1:80"), lifetime("i-2", 1, "10.0.0.2:80")
	for _, test := range []struct {
		name  string
		steps func(*directory.Roster)
		want  directory.Presence
	}{
		{"listed", func(r *directory.Roster) { r.Update(contents(one), start) }, directory.Present},
		{"absent while the store answers", func(r *directory.Roster) {
			r.Update(contents(one, two), start)
			r.Update(contents(two), start.Add(time.Second))
		}, directory.Ended},
		{"absent after a store failure", func(r *directory.Roster) {
			r.Update(contents(one, two), start)
			r.Trouble(start.Add(time.Second))
			r.Update(contents(two), start.Add(2*time.Second))
		}, directory.Lapsed},
		{"reappeared after a store failure", func(r *directory.Roster) {
			r.Update(contents(one), start)
			r.Trouble(start.Add(time.Second))
			r.Update(contents(), start.Add(2*time.Second))
			r.Update(contents(one), start.Add(4*time.Second))
		}, directory.Present},
		{"absent beyond the grace period after a store failure", func(r *directory.Roster) {
			r.Update(contents(one), start)
			r.Trouble(start.Add(time.Second))
			r.Update(contents(), start.Add(2*time.Second))
			r.Tick(start.Add(4500 * time.Millisecond))
		}, directory.Ended},
		{"absent while the store keeps failing", func(r *directory.Roster) {
			r.Update(contents(one), start)
			r.Trouble(start.Add(time.Second))
			r.Update(contents(), start.Add(2*time.Second))
			r.Trouble(start.Add(4 * time.Second))
			r.Tick(start.Add(5 * time.Second))
		}, directory.Lapsed},
		{"restarted under the same id", func(r *directory.Roster) {
			r.Update(contents(one), start)
			r.Update(contents(lifetime("i-1", 2, "10.0.0.1:80")), start.Add(time.Second))
		}, directory.Ended},
		{"address reassigned", func(r *directory.Roster) {
			r.Update(contents(one), start)
			r.Trouble(start.Add(time.Second))
			r.Update(contents(one, lifetime("i-9", 7, "10.0.0.1:80")), start.Add(2*time.Second))
		}, directory.Ended},
	} {
		r := directory.NewRoster()
		test.steps(r)
		if got, ok := presence(r, "i-1", 1); !ok || got != test.want {
			t.Errorf("%s: got presence %d (known %t), want %d", test.name, got, ok, test.want)
		}
	}
}

// The token of an ended lifetime must stay known for as long as its flows may
// last, which is 60 s.
func TestEndedLifetimeIsRetained(t *testing.T) {
	r := directory.NewRoster()
	r.Update(contents(lifetime("i-1", 1, "10.0.0.1:80")), start)
	r.Update(contents(), start.Add(time.Second))
	r.Tick(start.Add(61 * time.Second))
	if got, ok := presence(r, "i-1", 1); !ok || got != directory.Ended {
		t.Errorf("got presence %d (known %t), want ended and retained after 60 s", got, ok)
	}
	r.Tick(start.Add(2 * time.Minute))
	if _, ok := presence(r, "i-1", 1); ok {
		t.Error("an ended lifetime was not removed after 2 min")
	}
}

// The remaining cold time counts from when an entry was written, so reading the
// same entry again must not extend it.
func TestRereadDoesNotExtendColdTime(t *testing.T) {
	l := lifetime("i-1", 1, "10.0.0.1:80")
	l.ColdLeft = 2 * time.Second
	c := contents(l)
	c.Revisions = map[carawaycart.LifetimeKey]carawaycart.StoreRevision{l.Key(): 5}
	r := directory.NewRoster()
	r.Update(c, start)
	r.Update(c, start.Add(time.Second))
	r.All(func(s *directory.Seen) {
		if want := start.Add(2 * time.Second); !s.ColdUntil.Equal(want) {
			t.Errorf("got cold until %v, want %v", s.ColdUntil, want)
		}
	})
}

func TestContentsOmitUnconfiguredService(t *testing.T) {
	d := directory.New(func(i carawaycart.StoreItem) (carawaycart.Record, error) {
		if i.Key == "config" {
			return carawaycart.Record{Config: &carawaycart.RouteConfig{Services: []carawaycart.ServicePolicy{{ID: "desk"}}}}, nil
		}
		l := lifetime(i.Key, 1, "10.0.0.1:80")
		l.Service = carawaycart.ServiceID(i.Value)
		return carawaycart.Record{Lifetime: l}, nil
	})
	d.Replace([]carawaycart.StoreItem{item("config", "", 1), item("i-1", "desk", 2), item("i-2", "else", 3)}, 3)
	c := d.Contents()
	if len(c.Lifetimes) != 1 || c.Lifetimes[0].ID != "i-1" {
		t.Errorf("got %d lifetimes, want only i-1", len(c.Lifetimes))
	}
}

// An instance that has just started does not know the lifetimes that ended
// before, though packets of their flows still arrive; it learns them from peers.
func TestEndedLifetimesOfPeersAreRecorded(t *testing.T) {
	one, two := lifetime("i-1", 1, "10.0.0.1:80"), lifetime("i-2", 1, "10.0.0.2:80")
	running := directory.NewRoster()
	running.Update(contents(one, two), start)
	running.Update(contents(two), start.Add(time.Second))
	restarted := directory.NewRoster()
	restarted.Update(contents(two), start.Add(2*time.Second))
	if !restarted.Remember(append(running.Ended(), two.Key()), start.Add(2*time.Second)) {
		t.Error("got no new lifetime, want i-1")
	}
	if got, ok := presence(restarted, "i-1", 1); !ok || got != directory.Ended {
		t.Errorf("got presence %d (known %t) of i-1, want ended", got, ok)
	}
	if got, _ := presence(restarted, "i-2", 1); got != directory.Present {
		t.Errorf("got presence %d of i-2, want it present, as its entry exists", got)
	}
	if restarted.Remember(running.Ended(), start.Add(3*time.Second)) {
		t.Error("got a new lifetime from lifetimes that were known")
	}
}
