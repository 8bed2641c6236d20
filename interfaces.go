package carawaycart

import (
	"context"
	"net/netip"
	"time"
)

// Clock tells the time.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// StoreIndex orders the writes of the platform's store; zero means absent.
type StoreIndex uint64

// StoreEntry is one key of the platform's store with its value.
type StoreEntry struct {
	Key   string     `json:"key"`
	Value []byte     `json:"value"`
	Index StoreIndex `json:"modifyIndex"`
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the entry at key, or an error that is NotFound.
	Get(ctx context.Context, key string) (StoreEntry, error)
	// List returns the entries whose keys begin with prefix, in key order.
	List(ctx context.Context, prefix string) ([]StoreEntry, error)
	// Wait returns the entry at key as soon as its index exceeds index, or an
	// error that is NotFound when the deadline of ctx or of the service passes.
	Wait(ctx context.Context, key string, index StoreIndex) (StoreEntry, error)
	// CompareAndSwap writes value if the entry's index equals index and
	// reports whether it did; an error leaves the outcome unknown.
	CompareAndSwap(ctx context.Context, key string, value []byte, index StoreIndex) (bool, error)
}

// ListedInstance is one row of the platform's instance list.
type ListedInstance struct {
	ID          InstanceID     `json:"id"`
	Zone        ZoneID         `json:"zone"`
	PeerAddress netip.AddrPort `json:"peerAddress"`
}

// InstanceList is the platform's lagging list of live instances.
type InstanceList interface {
	// Instances returns the listed balancer instances.
	Instances(ctx context.Context) ([]ListedInstance, error)
}

// Reporter fetches the load report of an endpoint.
type Reporter interface {
	// Report returns the endpoint's current report.
	Report(ctx context.Context, address netip.AddrPort) (Report, error)
}

// Router decides packets. It is implemented for formats that carry a Token, and
// for those that do not.
type Router interface {
	// Decide returns what is to be done at now with packet p.
	Decide(p *Packet, now time.Time) Decision
}
