package directory

import (
	"cmp"
	"slices"
	"time"

	"carawaycart"
)

// Retention keeps zones out of service and instances listed whose items a restore of the
// store has removed, until operators and instances have had the time to write them again.
// The zero value keeps none; it is not safe for concurrent use.
type Retention struct {
	zonesOut  []carawaycart.ZoneID       // by the contents applied last
	instances []carawaycart.Registration // by the contents applied last

	keptZones     map[carawaycart.ZoneID]struct{}
	keptInstances map[carawaycart.InstanceID]carawaycart.Registration
	until         time.Time // when nothing is kept any more
}

// RecordRestore records that the store was found at now to be restored from a copy, before
// its contents are applied.
func (r *Retention) RecordRestore(now time.Time) {
	if r.keptZones == nil {
		r.keptZones = make(map[carawaycart.ZoneID]struct{})
		r.keptInstances = make(map[carawaycart.InstanceID]carawaycart.Registration)
	}
	for _, z := range r.zonesOut {
		r.keptZones[z] = struct{}{}
	}
	for _, i := range r.instances {
		r.keptInstances[i.ID] = i
	}
	r.until = now.Add(restoreGrace)
}

// ApplyContents adds to c what is kept at now.
func (r *Retention) ApplyContents(c *Contents, now time.Time) {
	if !now.Before(r.until) {
		r.keptZones, r.keptInstances = nil, nil
	}
	r.zonesOut, r.instances = slices.Clone(c.ZonesOut), slices.Clone(c.Instances)
	for _, z := range r.zonesOut {
		delete(r.keptZones, z)
	}
	for _, i := range r.instances {
		delete(r.keptInstances, i.ID)
	}
	for z := range r.keptZones {
		c.ZonesOut = append(c.ZonesOut, z)
	}
	slices.Sort(c.ZonesOut)
	c.Instances = slices.Clip(c.Instances) // the caller may hold the slice
	for _, i := range r.keptInstances {
		c.Instances = append(c.Instances, i)
	}
	slices.SortFunc(c.Instances, func(a, b carawaycart.Registration) int { return cmp.Compare(a.ID, b.ID) })
}

// MayChange reports whether the passing of time alone may change what is kept.
func (r *Retention) MayChange() bool { return len(r.keptZones)+len(r.keptInstances) > 0 }

// MayLack reports whether a read of the store that began at began may lack what a restore has
// removed and operators have not had the time to write again.
func (r *Retention) MayLack(began time.Time) bool { return began.Before(r.until) }
