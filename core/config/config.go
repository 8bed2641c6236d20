package config

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"carawaycart"
)

// Configuration holds all objects that operators have configured, and the slots
// computed from them, at one revision. It is immutable. LastID is the ID of the
// change of that revision, and empty at revision zero.
type Configuration struct {
	Revision    carawaycart.Revision                               `json:"revision"`
	LastID      carawaycart.ChangeID                               `json:"lastChangeId"`
	Profiles    map[carawaycart.ProfileName]carawaycart.Profile    `json:"profiles"`
	Services    map[carawaycart.ServiceID]carawaycart.Service      `json:"services"`
	Endpoints   map[carawaycart.EndpointID]carawaycart.Endpoint    `json:"endpoints"`
	Zones       map[carawaycart.ZoneID]carawaycart.Zone            `json:"zones"`
	Slots       map[carawaycart.ServiceID]carawaycart.SlotTable    `json:"slots"`
	endpointIDs map[carawaycart.ServiceID][]carawaycart.EndpointID // sorted IDs by service
	applyState  *applyState                                        // nil except during Apply
}

// New returns the configuration at revision zero, which contains only the built-in
// profiles.
func New() *Configuration {
	c := &Configuration{
		Profiles:    make(map[carawaycart.ProfileName]carawaycart.Profile),
		Services:    make(map[carawaycart.ServiceID]carawaycart.Service),
		Endpoints:   make(map[carawaycart.EndpointID]carawaycart.Endpoint),
		Zones:       make(map[carawaycart.ZoneID]carawaycart.Zone),
		Slots:       make(map[carawaycart.ServiceID]carawaycart.SlotTable),
		endpointIDs: make(map[carawaycart.ServiceID][]carawaycart.EndpointID),
	}
	for _, p := range BuiltInProfiles() {
		c.Profiles[p.Name] = p
	}
	return c
}

// BuiltInProfiles returns the profiles that a new configuration contains.
func BuiltInProfiles() []carawaycart.Profile {
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

// Decode returns the configuration encoded in data by Encode. The error is NotValid
// if data is not JSON of that form or a service has no slots.
func Decode(data []byte) (*Configuration, error) {
	c := New()
	clear(c.Profiles) // the snapshot holds the built-in ones that were not deleted
	if err := DecodeStrict(data, c); err != nil {
		return nil, errors.Annotate(err, "decode snapshot")
	}
	for id := range c.Services {
		if _, ok := c.Slots[id]; !ok {
			return nil, errors.NotValidf("decode snapshot: service %s without slots", id)
		}
	}
	for id, e := range c.Endpoints {
		c.endpointIDs[e.Service] = append(c.endpointIDs[e.Service], id)
	}
	for _, ids := range c.endpointIDs {
		slices.Sort(ids)
	}
	return c, nil
}

// Encode returns c as JSON.
func (c *Configuration) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	return data, errors.Annotate(err, "encode snapshot")
}

// LongestClaim returns the longest time for which a keyed request may be under way and its
// answer retained after that, under any profile.
func (c *Configuration) LongestClaim() time.Duration {
	var longest time.Duration
	for _, p := range c.Profiles {
		longest = max(longest, (p.RequestSeconds + p.AnswerSeconds).Duration())
	}
	return longest
}

// ServiceEndpoints returns the sorted IDs of the endpoints of service id. The slice
// is empty if there are none, and must not be modified.
func (c *Configuration) ServiceEndpoints(id carawaycart.ServiceID) []carawaycart.EndpointID {
	return c.endpointIDs[id]
}

// AcceptsNewWork reports whether endpoint id may receive new flows and requests: it
// exists, has no mark, and its zone is not taken out.
func (c *Configuration) AcceptsNewWork(id carawaycart.EndpointID) bool {
	e, ok := c.Endpoints[id]
	return ok && e.Mark == carawaycart.MarkNone && !c.Zones[e.Zone].Out
}

// MayOwnFlows reports whether endpoint id may own flows: it exists, is not marked as
// ended, and its zone is not taken out.
func (c *Configuration) MayOwnFlows(id carawaycart.EndpointID) bool {
	e, ok := c.Endpoints[id]
	return ok && e.Mark != carawaycart.MarkEnded && !c.Zones[e.Zone].Out
}

// EncodedObject returns the JSON encoding of the object of the given kind and name,
// or nil if there is none. It returns nil for the kinds settle and bundle, which do
// not name an object. The error is NotValid for an unknown kind.
func (c *Configuration) EncodedObject(kind carawaycart.ObjectKind, name string) (json.RawMessage, error) {
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
