package edge

import (
	"fmt"
	"testing"
	"time"

	"carawaycart"
)

// registrations returns perZone registrations in each of the zones.
func registrations(perZone int, zones ...carawaycart.ZoneID) []carawaycart.Registration {
	var all []carawaycart.Registration
	for _, z := range zones {
		for n := range perZone {
			all = append(all, carawaycart.Registration{ID: carawaycart.InstanceID(fmt.Sprintf("%s-%d", z, n)), Zone: z})
		}
	}
	return all
}

// Guards against several instances of a fleet that read the store at the same time,
// and against a fleet of which none reads without delay.
func TestExactlyOneInstanceHasNoReadDelay(t *testing.T) {
	all := registrations(5, "a", "b")
	delays := make(map[time.Duration]int)
	for _, i := range all {
		delays[readDelay(i.ID, i.Zone, all, false)]++
	}
	if delays[0] != 1 {
		t.Errorf("got %d instances that read without delay, want 1: %v", delays[0], delays)
	}
}

// When a fleet starts for the first time, all instances but the seeds are still
// unlisted when the first read becomes too old. Guards against all of them reading
// the store at the same time.
func TestUnlistedInstancesReadLast(t *testing.T) {
	listed := registrations(1, "a", "b")
	maxListedDelay := time.Duration(0)
	for _, i := range listed {
		maxListedDelay = max(maxListedDelay, readDelay(i.ID, i.Zone, listed, false))
	}
	for _, i := range registrations(40, "a", "b", "c")[1:] {
		if i.ID == listed[1].ID {
			continue
		}
		if got := readDelay(i.ID, i.Zone, listed, false); got <= maxListedDelay {
			t.Errorf("%s: got delay %v, want more than %v, the maximum of the listed instances", i.ID, got, maxListedDelay)
		}
	}
	if got := readDelay("a-0", "a", nil, true); got != 0 {
		t.Errorf("got delay %v of an instance that has written its entry, want 0", got)
	}
	if got := readDelay("a-1", "a", nil, false); got == 0 {
		t.Error("got no delay of an unlisted instance, want a delay")
	}
}
