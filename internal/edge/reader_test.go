package edge

import (
	"fmt"
	"testing"
	"time"

	"carawaycart"
)

func registrations(perZone int, zones ...carawaycart.ZoneID) []carawaycart.Registration {
	var all []carawaycart.Registration
	for _, z := range zones {
		for n := range perZone {
			all = append(all, carawaycart.Registration{ID: carawaycart.InstanceID(fmt.Sprintf("%s-%d", z, n)), Zone: z})
		}
	}
	return all
}

func TestOneInstanceReadsFirst(t *testing.T) {
	all := registrations(5, "a", "b")
	turns := make(map[time.Duration]int)
	for _, i := range all {
		turns[delay(i.ID, i.Zone, all, false)]++
	}
	if turns[0] != 1 {
		t.Errorf("got %d instances that read at once, want 1: %v", turns[0], turns)
	}
}

// The load pattern: a fleet starts for the first time, and all but the seeds are
// still to be listed when the first read gets old.
func TestUnlistedInstancesLetListedOnesRead(t *testing.T) {
	listed := registrations(1, "a", "b")
	longest := time.Duration(0)
	for _, i := range listed {
		longest = max(longest, delay(i.ID, i.Zone, listed, false))
	}
	for _, i := range registrations(40, "a", "b", "c")[1:] {
		if i.ID == listed[1].ID {
			continue
		}
		if got := delay(i.ID, i.Zone, listed, false); got <= longest {
			t.Errorf("%s: got a delay of %v, want more than %v of the listed ones", i.ID, got, longest)
		}
	}
	if got := delay("a-0", "a", nil, true); got != 0 {
		t.Errorf("got a delay of %v of an instance that has written its entry, want none", got)
	}
	if got := delay("a-1", "a", nil, false); got == 0 {
		t.Error("got no delay of an instance that is not listed")
	}
}
