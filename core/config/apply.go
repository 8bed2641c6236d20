package config

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/core/slot"
)

// Settlement is the After value of a change of kind settle: bases without flows
// that give way to the current endpoints of their slots.
type Settlement struct {
	Moves []Move `json:"moves"`
}

// Move lets the given slots take current as their base, as far as their base
// and current endpoints are still the stated ones.
type Move struct {
	Base    carawaycart.EndpointID  `json:"base"`
	Current carawaycart.EndpointID  `json:"current"`
	Slots   []carawaycart.SlotIndex `json:"slots"`
}

// Apply returns the configuration that follows c by change. The error is
// NotValid if change does not follow c's revision or breaks a rule.
func (c *Configuration) Apply(change carawaycart.Change) (*Configuration, error) {
	if change.Revision != c.Revision+1 {
		return nil, errors.NotValidf("revision %d after %d", change.Revision, c.Revision)
	}
	n := *c
	n.work = &work{touched: make(map[carawaycart.ServiceID]struct{})}
	if err := n.applyObject(change); err != nil {
		return nil, errors.Annotatef(err, "revision %d", change.Revision)
	}
	own(&n.Slots, &n.work.slots)
	for id := range n.work.touched {
		n.reassign(id)
	}
	n.work = nil
	n.Revision = change.Revision
	n.LastID = change.ID
	return &n, nil
}

// work is what Apply keeps track of: the maps that are the new configuration's
// own, and the services whose slots must be assigned anew.
type work struct {
	profiles, services, endpoints, zones, slots, members bool

	touched map[carawaycart.ServiceID]struct{}
}

// own replaces a map that is shared with the previous configuration by a copy.
func own[K comparable, V any](m *map[K]V, owned *bool) {
	if !*owned {
		*m = maps.Clone(*m)
		*owned = true
	}
}

// applyObject changes c, and notes the services whose slots must be assigned
// anew.
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
		return c.applySettle(change)
	}
	return errors.NotValidf("object kind %q", change.Kind)
}

// Bundle is the After value of a change of kind bundle: objects to create or
// replace. Endpoints of a service that is new take its slots at once, without
// the handover that endpoints added one after another need.
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
		if err := c.applyOne(carawaycart.KindProfile, string(p.Name), p); err != nil {
			return err
		}
	}
	for _, z := range b.Zones {
		if err := c.applyOne(carawaycart.KindZone, string(z.ID), z); err != nil {
			return err
		}
	}
	for _, s := range b.Services {
		if err := c.applyOne(carawaycart.KindService, string(s.ID), s); err != nil {
			return err
		}
	}
	for _, e := range b.Endpoints {
		if err := c.applyOne(carawaycart.KindEndpoint, string(e.ID), e); err != nil {
			return err
		}
	}
	return nil
}

func (c *Configuration) applyOne(kind carawaycart.ObjectKind, name string, object any) error {
	after, err := json.Marshal(object)
	if err != nil {
		return errors.Annotatef(err, "%s %s", kind, name)
	}
	return c.applyObject(carawaycart.Change{Kind: kind, Name: name, After: after})
}

// Next returns the configuration that follows c by change. A change that Apply
// refuses leaves everything but the revision as it is, on every instance alike,
// and Next returns its error besides; the result is nil only if change does not
// follow c's revision.
func (c *Configuration) Next(change carawaycart.Change) (*Configuration, error) {
	n, err := c.Apply(change)
	if err == nil || change.Revision != c.Revision+1 {
		return n, err
	}
	skipped := *c
	skipped.Revision = change.Revision
	skipped.LastID = change.ID
	return &skipped, err
}

// decode reads change.After into v and reports whether the object is deleted.
func decode(change carawaycart.Change, v any) (deleted bool, err error) {
	if len(change.After) == 0 || string(change.After) == "null" {
		return true, nil
	}
	return false, DecodeStrict(change.After, v)
}

func checkName[N ~string](change carawaycart.Change, name N) error {
	if string(name) != change.Name {
		return errors.NotValidf("%s %q under name %q", change.Kind, name, change.Name)
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
	own(&c.Profiles, &c.work.profiles)
	if deleted {
		for id, s := range c.Services {
			if s.Profile == name {
				return errors.NotValidf("deletion of profile %s, which service %s uses", name, id)
			}
		}
		delete(c.Profiles, name)
		return nil
	}
	if err := checkName(change, p.Name); err != nil {
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
	own(&c.Services, &c.work.services)
	own(&c.Slots, &c.work.slots)
	if deleted {
		if len(c.members[id]) > 0 {
			return errors.NotValidf("deletion of service %s, which has endpoints", id)
		}
		delete(c.Services, id)
		delete(c.Slots, id)
		return nil
	}
	if err := checkName(change, s.ID); err != nil {
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
	old, existed := c.Endpoints[id]
	if deleted {
		if !existed {
			return errors.NotFoundf("endpoint %s", id)
		}
		e = old
	} else {
		if err := checkName(change, e.ID); err != nil {
			return err
		}
		if err := c.validateEndpoint(e); err != nil {
			return err
		}
	}
	own(&c.Endpoints, &c.work.endpoints)
	own(&c.members, &c.work.members)
	members := slices.DeleteFunc(slices.Clone(c.members[e.Service]), func(m carawaycart.EndpointID) bool { return m == id })
	if deleted {
		delete(c.Endpoints, id)
	} else {
		c.Endpoints[id] = e
		members = append(members, id)
		slices.Sort(members)
	}
	c.members[e.Service] = members
	c.work.touched[e.Service] = struct{}{}
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
	if err := checkName(change, z.ID); err != nil {
		return err
	}
	if err := ValidateName(string(z.ID)); err != nil {
		return errors.Annotate(err, "zone")
	}
	own(&c.Zones, &c.work.zones)
	c.Zones[id] = z
	for s, members := range c.members {
		if slices.ContainsFunc(members, func(e carawaycart.EndpointID) bool { return c.Endpoints[e].Zone == id }) {
			c.work.touched[s] = struct{}{}
		}
	}
	return nil
}

func (c *Configuration) applySettle(change carawaycart.Change) error {
	var s Settlement
	if _, err := decode(change, &s); err != nil {
		return err
	}
	id := carawaycart.ServiceID(change.Name)
	t, ok := c.Slots[id]
	if !ok {
		return errors.NotFoundf("service %s", id)
	}
	own(&c.Slots, &c.work.slots)
	for _, m := range s.Moves {
		t = slot.ReplaceBase(t, m.Base, m.Current, m.Slots)
	}
	c.Slots[id] = t
	return nil
}

// reassign computes the slots of service id anew from its accepting endpoints.
// When none accepts, the slots keep the endpoints that may still hold flows.
func (c *Configuration) reassign(id carawaycart.ServiceID) {
	members := c.members[id]
	var candidates []slot.Candidate
	for _, m := range members {
		if c.Accepting(m) {
			candidates = append(candidates, slot.Candidate{ID: m, Weight: c.Endpoints[m].Flows})
		}
	}
	t := slot.Grow(slot.Clone(c.Slots[id]), slot.Count(len(members)))
	if len(candidates) == 0 {
		c.Slots[id] = slot.Retain(t, c.Holding)
		return
	}
	t = slot.Reassign(t, candidates)
	c.Slots[id] = slot.Rebase(t, func(e carawaycart.EndpointID) bool { return !c.Holding(e) })
}
