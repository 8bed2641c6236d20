package directory

import (
	"slices"
	"time"

	"carawaycart"
)

// ZoneTracker keeps zones out of service whose marks a restore of the store has removed,
// until operators have had the time to write the marks again. The zero value keeps none;
// it is not safe for concurrent use.
type ZoneTracker struct {
	listed []carawaycart.ZoneID            // zones out by the contents applied last
	kept   map[carawaycart.ZoneID]struct{} // zones whose marks a restore has removed
	until  time.Time                       // when kept zones return to service
}

// RecordRestore records that the store was found at now to be restored from a copy, before
// its contents are applied.
func (t *ZoneTracker) RecordRestore(now time.Time) {
	if t.kept == nil {
		t.kept = make(map[carawaycart.ZoneID]struct{})
	}
	for _, z := range t.listed {
		t.kept[z] = struct{}{}
	}
	t.until = now.Add(restoreGrace)
}

// ApplyContents adds to c the zones that are kept out of service at now.
func (t *ZoneTracker) ApplyContents(c *Contents, now time.Time) {
	if !now.Before(t.until) {
		t.kept = nil
	}
	t.listed = slices.Clone(c.ZonesOut)
	for z := range t.kept {
		if slices.Contains(t.listed, z) {
			delete(t.kept, z)
			continue
		}
		c.ZonesOut = append(c.ZonesOut, z)
	}
	slices.Sort(c.ZonesOut)
}

// MayChange reports whether the passing of time alone may return a zone to service.
func (t *ZoneTracker) MayChange() bool { return len(t.kept) > 0 }
