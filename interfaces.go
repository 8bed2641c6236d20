package carawaycart

import (
	"context"
	"net/netip"
	"time"
)

// Clock provides the current time.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// StoreIndex orders the writes of a Store; zero means absent.
type StoreIndex uint64

// StoreEntry is an entry of a Store: a key with its value.
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
	// Wait blocks until the index of the entry at key exceeds index and returns
	// the entry. The error is NotFound if the deadline of ctx or the store's own
	// time limit passes first.
	Wait(ctx context.Context, key string, index StoreIndex) (StoreEntry, error)
	// CompareAndSwap writes value if the index of the entry equals index and
	// reports whether it did. Index zero requires that the entry does not exist.
	// After an error the value may or may not have been written.
	CompareAndSwap(ctx context.Context, key string, value []byte, index StoreIndex) (bool, error)
}

// ListedInstance is an entry of the platform's instance list.
type ListedInstance struct {
	ID          InstanceID     `json:"id"`
	Zone        ZoneID         `json:"zone"`
	PeerAddress netip.AddrPort `json:"peerAddress"`
}

// InstanceList is the platform's list of live instances, which may lag behind
// their actual state.
type InstanceList interface {
	// Instances returns the listed balancer instances.
	Instances(ctx context.Context) ([]ListedInstance, error)
}

// LoadReporter fetches the load reports of endpoints.
type LoadReporter interface {
	// Report returns the current load report of the endpoint whose RequestAddress
	// is address.
	Report(ctx context.Context, address netip.AddrPort) (LoadReport, error)
}

// Router makes the forwarding decisions for packets. There is one implementation
// for formats whose packets carry a Token and one for the others.
type Router interface {
	// Decide returns the decision for packet p at time now.
	Decide(p *Packet, now time.Time) Decision
}
