package carawaycart

import (
	"net/netip"
	"time"
)

// Token is a value in the packets of a flow that identifies the Lifetime that owns
// the flow; zero means none.
type Token uint32

// EndpointNumber distinguishes an endpoint from others that have used its address.
// It is the hexadecimal number in the endpoint's ID, which is not zero.
type EndpointNumber uint64

// UnixMillis is a time in milliseconds since the Unix epoch.
type UnixMillis int64

// Lifetime is one run of an endpoint, from its start to its end.
type Lifetime struct {
	ID            EndpointID
	StartedAt     UnixMillis // start time; zero if the endpoint did not report it
	Number        EndpointNumber
	Service       ServiceID
	Zone          ZoneID
	Address       netip.AddrPort
	RequestSlots  int           // maximum number of concurrent requests
	Draining      bool          // accepts no new flows
	ColdRemaining time.Duration // remaining cold time when the store entry was written
}

// LifetimeKey identifies a Lifetime.
type LifetimeKey struct {
	ID        EndpointID
	StartedAt UnixMillis
}

// Key returns the identity of l.
func (l *Lifetime) Key() LifetimeKey { return LifetimeKey{ID: l.ID, StartedAt: l.StartedAt} }

// RequestKind is the kind of the requests of a route.
type RequestKind string

// The kinds of request.
const (
	RequestUnknown  RequestKind = "" // a kind that is not one of those below
	RequestSafe     RequestKind = "safe"
	RequestUnsafe   RequestKind = "unsafe"
	RequestUpload   RequestKind = "upload"
	RequestDownload RequestKind = "download"
)

// Idempotent reports whether requests of kind k may run more than once. It is false for
// an unknown kind.
func (k RequestKind) Idempotent() bool { return k == RequestSafe || k == RequestDownload }

// RouteTarget is a service of a Route with its share of the new flows.
type RouteTarget struct {
	Service ServiceID
	Weight  int // relative to the weights of the other targets
}

// Route distributes the new flows to an address over services.
type Route struct {
	Name          string
	Address       netip.AddrPort
	Targets       []RouteTarget
	Kind          RequestKind
	Priority      int           // 0 is the highest
	TargetLatency time.Duration // latency within which a request should be answered
	TimeBudget    time.Duration // time after which callers give a request up; zero if unknown
}

// ServicePolicy holds the settings of a service in the routing configuration.
type ServicePolicy struct {
	ID              ServiceID
	HealthPath      string  // HTTP path of the health check of its endpoints
	MaxFlows        int     // maximum number of concurrent flows per endpoint
	ColdRequestRate float64 // requests per second that a cold endpoint can serve
}

// RouteConfig is one version of the routing configuration.
type RouteConfig struct {
	Version     uint64 // version that the configuration item states; not a StoreRevision
	Routes      []Route
	Services    []ServicePolicy
	IdleTimeout time.Duration // idle time after which a flow may be discarded

	InvalidRoutes int // number of routes that were left out because they are invalid
	IgnoredValues int // number of other values that are not used as they were written
}

// ConfigPart is a part of the routing configuration.
type ConfigPart string

// The parts of a routing configuration.
const (
	ConfigWhole   ConfigPart = "config"
	ConfigRoute   ConfigPart = "route"
	ConfigService ConfigPart = "service"
)

// ConfigEffect is what follows from a ConfigFault.
type ConfigEffect uint8

// The effects of faults in a routing configuration.
const (
	ConfigValueIgnored ConfigEffect = iota // the value is taken as missing
	ConfigValueLimited                     // the largest usable value is taken in its place
	ConfigPartOmitted                      // the route or service is left out
)

// ConfigFault is a value of the routing configuration that is not used as it was written.
type ConfigFault struct {
	Part     ConfigPart
	Name     string // name of the route or service; several may have the same
	Position int    // position of the route or service among its kind, counted from one
	Effect   ConfigEffect
	Reason   string
}

// Registration is the store entry by which other instances discover an instance.
type Registration struct {
	ID          InstanceID
	Zone        ZoneID
	PeerAddress netip.AddrPort // TCP for calls, UDP for updates
}

// StoreRevision is the number of changes to the platform's metadata store; zero means
// none.
type StoreRevision uint64

// StoreEra is the number of times that the platform's metadata store was restored from a
// copy. Revisions of different eras cannot be compared, since a restored store gives them
// out again. It is zero if the store does not state it.
type StoreEra uint64

// StoreItem is an item of the platform's metadata store: a key with the value last
// written to it.
type StoreItem struct {
	Key      string
	Value    []byte
	Revision StoreRevision
	// Retained tells that Value is a configuration which a restore of the store has removed
	// or replaced by an older one, and Revision the one that the store gives it, or zero.
	Retained bool
}

// DecodedItem is a decoded StoreItem. At most one field is set; none is set if the
// key is of an unknown kind or the item is malformed.
type DecodedItem struct {
	Config    *RouteConfig
	Lifetime  *Lifetime
	ZoneOut   ZoneID // zone that operators have taken out of service
	Instances []Registration

	ZoneRecord ZoneID // zone that the fleet has recorded as out of service
}
