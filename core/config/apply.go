package config

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/core/slot"
)

// BaseReplacement is the After value of a change of kind settle, whose Name is that
// of a service. It replaces bases that no longer own flows by the current endpoints
// of their slots.
type BaseReplacement struct {
	Moves []BaseMove `json:"moves"`
}

// BaseMove replaces the base of the given slots by their current endpoint. Slots whose
// base or current endpoint differs from the given ones are ignored.
type BaseMove struct {
	Base    carawaycart.EndpointID  `json:"base"`
	Current carawaycart.EndpointID  `json:"current"`
	Slots   []carawaycart.SlotIndex `json:"slots"`
}

// Apply returns the configuration that results from applying change to c, or nil and
// an error. The error is NotValid if the revision of change is not the next one, if
// its object kind or value is invalid, or if it deletes an object in use. It is
// NotFound if change refers to an object that does not exist, AlreadyExists if a
// service has the address of another one, and NotSupported for the deletion of a
// zone.
func (c *Configuration) Apply(change carawaycart.Change) (*Configuration, error) {
	if change.Revision != c.Revision+1 {
		return nil, errors.NotValidf("change of revision %d for configuration of revision %d", change.Revision, c.Revision)
	}
	n := *c
	n.applyState = &applyState{changedServices: make(map[carawaycart.ServiceID]struct{})}
	if err := n.applyObject(change); err != nil {
		return nil, errors.Annotatef(err, "revision %d", change.Revision)
	}
	cloneOnce(&n.Slots, &n.applyState.slots)
	for id := range n.applyState.changedServices {
		n.reassignSlots(id)
	}
	n.applyState = nil
	n.Revision = change.Revision
	n.LastID = change.ID
	return &n, nil
}

// applyState is the working state of Apply.
type applyState struct {
	// Each flag reports whether the map of its name, which the previous
	// configuration shares, has been cloned.
	profiles, services, endpoints, zones, slots, endpointIDs bool

	changedServices map[carawaycart.ServiceID]struct{} // services whose slots must be reassigned
}

// cloneOnce replaces the map m, which is shared with the previous configuration, by
// a copy and sets cloned. It does nothing if cloned is already set.
func cloneOnce[K comparable, V any](m *map[K]V, cloned *bool) {
	if !*cloned {
		*m = maps.Clone(*m)
		*cloned = true
	}
}

// applyObject applies change to c and records the services whose slots must be
// reassigned.
func (c *Configuration) applyObject(change carawaycart.Change) error {
	switch change.Kind {
	case carawaycart.KindProfile:
		return c.applyProfile(change)
	case carawaycart.KindService:
		return c.applyService(change)
	case carawaycart.KindEndpoint:
		return c.applyEndpoint(change)
	case carawaycart.KindZone:
		return c.applyZone(change)
	case carawaycart.KindBundle:
		return c.applyBundle(change)
	case carawaycart.KindSettle:
		return c.applyBaseReplacement(change)
	}
	return errors.NotValidf("object kind %q", change.Kind)
}

// Bundle is the After value of a change of kind bundle, which creates or replaces
// several objects, or none if one of them is refused. The slots of a new service
// are divided among all its endpoints in the bundle, so the base of every slot is
// its current endpoint. Endpoints added in separate changes would leave slots whose
// base is an earlier endpoint.
type Bundle struct {
	Profiles  []carawaycart.Profile  `json:"profiles,omitempty"`
	Zones     []carawaycart.Zone     `json:"zones,omitempty"`
	Services  []carawaycart.Service  `json:"services,omitempty"`
	Endpoints []carawaycart.Endpoint `json:"endpoints,omitempty"`
}

func (c *Configuration) applyBundle(change carawaycart.Change) error {
	var b Bundle
	if _, err := decode(change, &b); err != nil {
		return err
	}
	for _, p := range b.Profiles {
		if err := c.applyBundled(carawaycart.KindProfile, string(p.Name), p); err != nil {
			return err
		}
	}
	for _, z := range b.Zones {
		if err := c.applyBundled(carawaycart.KindZone, string(z.ID), z); err != nil {
			return err
		}
	}
	for _, s := range b.Services {
		if err := c.applyBundled(carawaycart.KindService, string(s.ID), s); err != nil {
			return err
		}
	}
	for _, e := range b.Endpoints {
		if err := c.applyBundled(carawaycart.KindEndpoint, string(e.ID), e); err != nil {
			return err
		}
	}
	return nil
}

// applyBundled applies the creation or replacement of one object of a bundle.
func (c *Configuration) applyBundled(kind carawaycart.ObjectKind, name string, object any) error {
	after, err := json.Marshal(object)
	if err != nil {
		return errors.Annotatef(err, "encode %s %s", kind, name)
	}
	return c.applyObject(carawaycart.Change{Kind: kind, Name: name, After: after})
}

// ApplyOrSkip returns the configuration that results from applying change to c. If
// Apply refuses change, ApplyOrSkip returns the objects of c with the revision and
// ID of change, and the error of Apply, so that all instances skip the change alike.
// It returns nil and an error if the revision of change is not the next one.
func (c *Configuration) ApplyOrSkip(change carawaycart.Change) (*Configuration, error) {
	n, err := c.Apply(change)
	if err == nil || change.Revision != c.Revision+1 {
		return n, err
	}
	skipped := *c
	skipped.Revision = change.Revision
	skipped.LastID = change.ID
	return &skipped, err
}

// decode decodes change.After into v. It returns true if After is empty or null,
// which deletes the object.
func decode(change carawaycart.Change, v any) (deleted bool, err error) {
	if len(change.After) == 0 || string(change.After) == "null" {
		return true, nil
	}
	return false, DecodeStrict(change.After, v)
}

// validateNameMatches returns a NotValid error unless name, the name or ID in the
// value of change, is the name of the object that change is for.
func validateNameMatches[N ~string](change carawaycart.Change, name N) error {
	if string(name) != change.Name {
		return errors.NotValidf("%s %q in a change for name %q", change.Kind, name, change.Name)
	}
	return nil
}

func (c *Configuration) applyProfile(change carawaycart.Change) error {
	var p carawaycart.Profile
	deleted, err := decode(change, &p)
	if err != nil {
		return err
	}
	name := carawaycart.ProfileName(change.Name)
	cloneOnce(&c.Profiles, &c.applyState.profiles)
	if deleted {
		for id, s := range c.Services {
			if s.Profile == name {
				return errors.NotValidf("deletion of profile %s in use by service %s", name, id)
			}
		}
		delete(c.Profiles, name)
		return nil
	}
	if err := validateNameMatches(change, p.Name); err != nil {
		return err
	}
	if err := ValidateProfile(p); err != nil {
		return err
	}
	c.Profiles[name] = p
	return nil
}

func (c *Configuration) applyService(change carawaycart.Change) error {
	var s carawaycart.Service
	deleted, err := decode(change, &s)
	if err != nil {
		return err
	}
	id := carawaycart.ServiceID(change.Name)
	cloneOnce(&c.Services, &c.applyState.services)
	cloneOnce(&c.Slots, &c.applyState.slots)
	if deleted {
		if len(c.endpointIDs[id]) > 0 {
			return errors.NotValidf("deletion of service %s with endpoints", id)
		}
		delete(c.Services, id)
		delete(c.Slots, id)
		return nil
	}
	if err := validateNameMatches(change, s.ID); err != nil {
		return err
	}
	if err := c.validateService(s); err != nil {
		return err
	}
	if _, ok := c.Slots[id]; !ok {
		c.Slots[id] = slot.New(slot.Count(0))
	}
	c.Services[id] = s
	return nil
}

func (c *Configuration) applyEndpoint(change carawaycart.Change) error {
	var e carawaycart.Endpoint
	deleted, err := decode(change, &e)
	if err != nil {
		return err
	}
	id := carawaycart.EndpointID(change.Name)
	previous, existed := c.Endpoints[id]
	if deleted {
		if !existed {
			return errors.NotFoundf("endpoint %s", id)
		}
		e = previous
	} else {
		if err := validateNameMatches(change, e.ID); err != nil {
			return err
		}
		if err := c.validateEndpoint(e); err != nil {
			return err
		}
	}
	cloneOnce(&c.Endpoints, &c.applyState.endpoints)
	cloneOnce(&c.endpointIDs, &c.applyState.endpointIDs)
	endpointIDs := slices.DeleteFunc(slices.Clone(c.endpointIDs[e.Service]), func(other carawaycart.EndpointID) bool { return other == id })
	if deleted {
		delete(c.Endpoints, id)
	} else {
		c.Endpoints[id] = e
		endpointIDs = append(endpointIDs, id)
		slices.Sort(endpointIDs)
	}
	c.endpointIDs[e.Service] = endpointIDs
	c.applyState.changedServices[e.Service] = struct{}{}
	return nil
}

func (c *Configuration) applyZone(change carawaycart.Change) error {
	var z carawaycart.Zone
	deleted, err := decode(change, &z)
	if err != nil {
		return err
	}
	id := carawaycart.ZoneID(change.Name)
	if deleted {
		return errors.NotSupportedf("deletion of zone %s", id)
	}
	if err := validateNameMatches(change, z.ID); err != nil {
		return err
	}
	if err := ValidateName(string(z.ID)); err != nil {
		return errors.Annotate(err, "zone")
	}
	cloneOnce(&c.Zones, &c.applyState.zones)
	c.Zones[id] = z
	for s, endpointIDs := range c.endpointIDs {
		if slices.ContainsFunc(endpointIDs, func(e carawaycart.EndpointID) bool { return c.Endpoints[e].Zone == id }) {
			c.applyState.changedServices[s] = struct{}{}
		}
	}
	return nil
}

func (c *Configuration) applyBaseReplacement(change carawaycart.Change) error {
	var r BaseReplacement
	if _, err := decode(change, &r); err != nil {
		return err
	}
	id := carawaycart.ServiceID(change.Name)
	t, ok := c.Slots[id]
	if !ok {
		return errors.NotFoundf("service %s", id)
	}
	cloneOnce(&c.Slots, &c.applyState.slots)
	for _, m := range r.Moves {
		t = slot.ReplaceBase(t, m.Base, m.Current, m.Slots)
	}
	c.Slots[id] = t
	return nil
}

// reassignSlots divides the slots of service id among its endpoints that accept new
// work, in proportion to the flows that they can hold. If there are none, the slots
// keep the endpoints that may still own flows.
func (c *Configuration) reassignSlots(id carawaycart.ServiceID) {
	endpointIDs := c.endpointIDs[id]
	var candidates []slot.Candidate
	for _, endpointID := range endpointIDs {
		if c.AcceptsNewWork(endpointID) {
			candidates = append(candidates, slot.Candidate{ID: endpointID, Weight: c.Endpoints[endpointID].MaxFlows})
		}
	}
	t := slot.Grow(slot.Clone(c.Slots[id]), slot.Count(len(endpointIDs)))
	if len(candidates) == 0 {
		c.Slots[id] = slot.Retain(t, c.MayOwnFlows)
		return
	}
	t = slot.Reassign(t, candidates)
	c.Slots[id] = slot.ReplaceRemovedBases(t, func(e carawaycart.EndpointID) bool { return !c.MayOwnFlows(e) })
}
