package directory_test

import (
	"slices"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/directory"
)

// zoneContents returns contents with the mark and the record of zone b at the given
// revisions, where zero means that there is none.
func zoneContents(mark, record carawaycart.StoreRevision) *directory.Contents {
	c := &directory.Contents{
		ZoneMarks: make(map[carawaycart.ZoneID]carawaycart.StoreRevision), ZoneRecords: make(map[carawaycart.ZoneID]carawaycart.StoreRevision),
	}
	if mark > 0 {
		c.ZonesOut, c.ZoneMarks["b"] = []carawaycart.ZoneID{"b"}, mark
	}
	if record > 0 {
		c.ZoneRecords["b"] = record
	}
	return c
}

// A zone is out and returns. Guards against instances that do not know that its endpoints may
// have become cold since their entries were written, because they have started, or were
// frozen, while it was out or as it returned.
func TestZoneReturnIsKnownWithoutItsMark(t *testing.T) {
	type step struct {
		after        time.Duration
		mark, record carawaycart.StoreRevision
	}
	returned := step{10 * time.Second, 0, 5}
	for _, test := range []struct {
		name  string
		steps []step
		cold  bool
	}{
		{"running", []step{{0, 4, 0}, {time.Second, 4, 5}, returned}, true},
		{"running, without a record", []step{{0, 4, 0}, {10 * time.Second, 0, 0}}, true},
		{"started while the zone was out", []step{{9 * time.Second, 4, 5}, returned}, true},
		{"started as the zone returned", []step{returned}, true},
		{"frozen while the zone was out", []step{{0, 0, 0}, returned}, true},
		{"frozen while the zone was out for the second time", []step{{0, 0, 2}, returned}, true},
		{"never out", []step{{0, 0, 0}, {10 * time.Second, 0, 0}}, false},
		{"out", []step{{0, 4, 0}, {time.Second, 4, 5}}, false},
	} {
		var z directory.ZoneReturns
		var now time.Time
		for _, s := range test.steps {
			now = start.Add(s.after)
			z.ApplyContents(zoneContents(s.mark, s.record), now)
		}
		until := z.ColdUntil()["b"]
		if got := now.Before(until); got != test.cold {
			t.Errorf("%s: got cold %t, until %v after the last step, want %t", test.name, got, until.Sub(now), test.cold)
		}
		// An update without news does not extend the time.
		last := test.steps[len(test.steps)-1]
		z.ApplyContents(zoneContents(last.mark, last.record), now.Add(2*time.Second))
		if got := z.ColdUntil()["b"]; test.cold && !got.Equal(until) {
			t.Errorf("%s: got cold until %v later after an update, want no change", test.name, got.Sub(until))
		}
	}
}

// Guards against records that are missing while a zone is out, that leave the store before
// the entries of the zone's endpoints are up to date again, and that stay for ever.
func TestZoneRecordsDue(t *testing.T) {
	for _, test := range []struct {
		name         string
		mark, record carawaycart.StoreRevision
		after        time.Duration // since the contents were applied
		want         []directory.ZoneRecordChange
	}{
		{"zone out", 4, 0, 0, []directory.ZoneRecordChange{{Zone: "b"}}},
		{"zone out, recorded", 4, 5, 0, nil},
		{"zone out again, recorded before", 9, 5, 0, []directory.ZoneRecordChange{{Zone: "b", Expected: 5}}},
		{"zone has just returned", 0, 5, time.Second, nil},
		{"zone has returned", 0, 5, 4 * time.Second, []directory.ZoneRecordChange{{Zone: "b", Expected: 5, Remove: true}}},
		{"nothing", 0, 0, 4 * time.Second, nil},
	} {
		var z directory.ZoneReturns
		z.ApplyContents(zoneContents(test.mark, test.record), start)
		if got := z.Due(start.Add(test.after)); !slices.Equal(got, test.want) {
			t.Errorf("%s: got changes %v due, want %v", test.name, got, test.want)
		}
	}
}

// A restore of the store has removed the mark of a zone, which stays out until the operators
// write it again. Guards against removing its record meanwhile.
func TestRecordOfRetainedZoneIsKept(t *testing.T) {
	var z directory.ZoneReturns
	c := zoneContents(0, 5)
	c.ZonesOut = []carawaycart.ZoneID{"b"}
	z.ApplyContents(c, start)
	if got := z.Due(start.Add(time.Minute)); len(got) > 0 {
		t.Errorf("got changes %v due, want none", got)
	}
}
