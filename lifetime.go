package carawaycart

import (
	"net/netip"
	"time"
)

// Token is the value by which packets of a flow name the lifetime that owns the
// flow; zero means none.
type Token uint32

// HostNumber tells an endpoint apart from others that had its address.
type HostNumber uint64

// UnixMillis is a time of day in milliseconds since 1970.
type UnixMillis int64

// Lifetime is one run of an endpoint, from its start to its end.
type Lifetime struct {
	ID       EndpointID
	Born     UnixMillis // when it started; zero if it did not say
	Number   HostNumber
	Service  ServiceID
	Zone     ZoneID
	Address  netip.AddrPort
	Slots    int
	Draining bool
	ColdLeft time.Duration // remaining cold time when the entry was written
}

// LifetimeKey identifies a Lifetime.
type LifetimeKey struct {
	ID   EndpointID
	Born UnixMillis
}

// Key returns the identity of l.
func (l *Lifetime) Key() LifetimeKey { return LifetimeKey{ID: l.ID, Born: l.Born} }

// RequestKind tells whether a request may be repeated.
type RequestKind string

// The kinds of request.
const (
	RequestSafe   RequestKind = "safe"
	RequestUnsafe RequestKind = "unsafe"
	RequestUpload RequestKind = "upload"
)

// RouteTarget is one service of a route with its share of the new flows.
type RouteTarget struct {
	Service ServiceID
	Weight  int
}

// Route sends the new flows to an address to services.
type Route struct {
	Name     string
	Address  netip.AddrPort
	Targets  []RouteTarget
	Kind     RequestKind
	Priority int           // 0 is the highest
	Target   time.Duration // within which a request should be answered
}

// ServicePolicy is what the routing configuration says of a service.
type ServicePolicy struct {
	ID            ServiceID
	HealthPath    string
	Flows         int     // that an endpoint can hold
	ColdPerSecond float64 // requests that a cold endpoint bears
}

// RouteConfig is one version of the routing configuration.
type RouteConfig struct {
	Version   uint64
	Routes    []Route
	Services  []ServicePolicy
	IdleLimit time.Duration // after which a silent flow may be discarded
}

// Registration is how an instance makes itself known to the others.
type Registration struct {
	ID          InstanceID
	Zone        ZoneID
	PeerAddress netip.AddrPort // TCP for calls, UDP for news
}

// StoreRevision counts the changes of the platform's store; zero means none.
type StoreRevision uint64

// StoreItem is one key of the platform's store as it was written last.
type StoreItem struct {
	Key      string
	Value    []byte
	Revision StoreRevision
}

// Record is the meaning of one StoreItem; at most one field is set, and none if
// the item names nothing that can be used.
type Record struct {
	Config   *RouteConfig
	Lifetime *Lifetime
	ZoneOut  ZoneID // a zone that operators have taken out
	Instance *Registration
}
