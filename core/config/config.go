package config

import (
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"carawaycart"
)

// Configuration is everything that operators have decided, at one revision.
type Configuration struct {
	Revision  carawaycart.Revision                               `json:"revision"`
	LastID    carawaycart.ChangeID                               `json:"lastChangeId"`
	Profiles  map[carawaycart.ProfileName]carawaycart.Profile    `json:"profiles"`
	Services  map[carawaycart.ServiceID]carawaycart.Service      `json:"services"`
	Endpoints map[carawaycart.EndpointID]carawaycart.Endpoint    `json:"endpoints"`
	Zones     map[carawaycart.ZoneID]carawaycart.Zone            `json:"zones"`
	Slots     map[carawaycart.ServiceID]carawaycart.SlotTable    `json:"slots"`
	members   map[carawaycart.ServiceID][]carawaycart.EndpointID // endpoints of each service, sorted
	work      *work                                              // during Apply only
}

// New returns the configuration at revision zero, which holds the built-in
// profiles.
func New() *Configuration {
	c := &Configuration{
		Profiles:  make(map[carawaycart.ProfileName]carawaycart.Profile),
		Services:  make(map[carawaycart.ServiceID]carawaycart.Service),
		Endpoints: make(map[carawaycart.EndpointID]carawaycart.Endpoint),
		Zones:     make(map[carawaycart.ZoneID]carawaycart.Zone),
		Slots:     make(map[carawaycart.ServiceID]carawaycart.SlotTable),
		members:   make(map[carawaycart.ServiceID][]carawaycart.EndpointID),
	}
	for _, p := range BuiltIn() {
		c.Profiles[p.Name] = p
	}
	return c
}

// BuiltIn returns the profiles that every configuration begins with.
func BuiltIn() []carawaycart.Profile {
	return []carawaycart.Profile{
		{
			Name: "gentle", ColdFlows: 20, ColdRequests: 1, WarmupSeconds: 60, DrainSeconds: 4 * 3600,
			FlowIdleSeconds: 300, RequestSeconds: 30, QueueSeconds: 5, RetryPercent: 10,
			AnswerSeconds: 3600,
		},
		{
			Name: "swift", ColdFlows: 100, ColdRequests: 1, WarmupSeconds: 10, DrainSeconds: 300,
			FlowIdleSeconds: 60, RequestSeconds: 10, QueueSeconds: 1, RetryPercent: 20,
			AnswerSeconds: 600,
		},
	}
}

// Decode returns the configuration encoded in data by Encode.
func Decode(data []byte) (*Configuration, error) {
	c := New()
	if err := DecodeStrict(data, c); err != nil {
		return nil, errors.Annotate(err, "snapshot")
	}
	for id := range c.Services {
		if _, ok := c.Slots[id]; !ok {
			return nil, errors.NotValidf("snapshot: service %s without slots", id)
		}
	}
	for id, e := range c.Endpoints {
		c.members[e.Service] = append(c.members[e.Service], id)
	}
	for _, m := range c.members {
		slices.Sort(m)
	}
	return c, nil
}

// Encode returns c as JSON.
func (c *Configuration) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.Annotate(err, "encode snapshot")
}

// ServiceEndpoints returns the identifiers of the endpoints of service id in
// order; the slice must not be modified.
func (c *Configuration) ServiceEndpoints(id carawaycart.ServiceID) []carawaycart.EndpointID {
	return c.members[id]
}

// Accepting reports whether endpoint id may get new work by its mark and zone.
func (c *Configuration) Accepting(id carawaycart.EndpointID) bool {
	e, ok := c.Endpoints[id]
	return ok && e.Mark == carawaycart.MarkNone && !c.Zones[e.Zone].Out
}

// Holding reports whether endpoint id may still own flows.
func (c *Configuration) Holding(id carawaycart.EndpointID) bool {
	e, ok := c.Endpoints[id]
	return ok && e.Mark != carawaycart.MarkEnded && !c.Zones[e.Zone].Out
}

// Current returns the encoded object that a change of kind and name would
// replace, or nil if there is none.
func (c *Configuration) Current(kind carawaycart.ObjectKind, name string) (json.RawMessage, error) {
	var v any
	var ok bool
	switch kind {
	case carawaycart.KindProfile:
		v, ok = lookup(c.Profiles, carawaycart.ProfileName(name))
	case carawaycart.KindService:
		v, ok = lookup(c.Services, carawaycart.ServiceID(name))
	case carawaycart.KindEndpoint:
		v, ok = lookup(c.Endpoints, carawaycart.EndpointID(name))
	case carawaycart.KindZone:
		v, ok = lookup(c.Zones, carawaycart.ZoneID(name))
	case carawaycart.KindSettle, carawaycart.KindBundle:
	default:
		return nil, errors.NotValidf("object kind %q", kind)
	}
	if !ok {
		return nil, nil
	}
	return json.Marshal(v)
}

func lookup[K comparable, V any](m map[K]V, k K) (any, bool) {
	v, ok := m[k]
	return v, ok
}
