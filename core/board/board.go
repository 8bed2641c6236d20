package board

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycart"
	"carawaycart/core/config"
	"carawaycart/core/member"
)

const (
	// activationDelay is the time after the arrival of a revision by which every
	// instance has received it.
	activationDelay = time.Second
	// stabilityDelay is the time after the arrival of a revision by which every
	// instance follows its tables.
	stabilityDelay = 2 * time.Second
	// zoneReturnDelay is the time after the return of a zone to service by which
	// its instances hold the state of the objects whose keepers they will become.
	zoneReturnDelay = 2 * time.Second

	// entryShards is the number of shards that hold the entries, each under its
	// own lock.
	entryShards = 64
)

// View is an immutable snapshot of the configuration and the routes of its
// services.
type View struct {
	Config    *config.Configuration
	byAddress map[netip.AddrPort]*ServiceRoute
	byID      map[carawaycart.ServiceID]*ServiceRoute
}

// Service returns the route of the service at address a, or nil.
func (v *View) Service(a netip.AddrPort) *ServiceRoute { return v.byAddress[a] }

// ServiceByID returns the route of service id, or nil.
func (v *View) ServiceByID(id carawaycart.ServiceID) *ServiceRoute { return v.byID[id] }

// Services returns the routes of all services; the map must not be modified.
func (v *View) Services() map[carawaycart.ServiceID]*ServiceRoute { return v.byID }

// Board is the shared state of one instance; it is safe for concurrent use.
type Board struct {
	Self carawaycart.InstanceID

	view         atomic.Pointer[View]        // configuration in force; nil before the first one
	members      atomic.Pointer[member.View] // view of the fleet
	statusDigest atomic.Uint64               // sum of the hashes of all statuses
	decideUntil  atomic.Int64                // Unix nanoseconds until which the instance may make decisions

	// mu serializes changes of view and members, and guards memberList and
	// replicaOnlyUntil.
	mu               sync.Mutex
	memberList       []carawaycart.Member             // as set by SetMembers
	replicaOnlyUntil map[carawaycart.ZoneID]time.Time // when zones that returned to service may have keepers
	shards           [entryShards]entryShard
}

// entryShard holds the entries whose IDs hash to it.
type entryShard struct {
	mu      sync.RWMutex
	entries map[carawaycart.EndpointID]*Entry
}

// New returns the board of instance self, without configuration or members.
func New(self carawaycart.InstanceID) *Board {
	b := &Board{Self: self, replicaOnlyUntil: make(map[carawaycart.ZoneID]time.Time)}
	for i := range b.shards {
		b.shards[i].entries = make(map[carawaycart.EndpointID]*Entry)
	}
	b.rebuildMembers()
	return b
}

// View returns the view of the configuration in force, or nil before the first
// configuration.
func (b *Board) View() *View { return b.view.Load() }

// Members returns the current view of the fleet; it is never nil.
func (b *Board) Members() *member.View { return b.members.Load() }

// Revision returns the revision of the configuration in force, or zero before the
// first one.
func (b *Board) Revision() carawaycart.Revision {
	if v := b.View(); v != nil {
		return v.Config.Revision
	}
	return 0
}

// AllowDecisionsUntil allows the instance to make decisions until deadline. An instance
// whose process was paused past the deadline must first learn what changed in the
// meantime and whether it was replaced.
func (b *Board) AllowDecisionsUntil(deadline time.Time) { b.decideUntil.Store(deadline.UnixNano()) }

// MayDecide reports whether the instance may make decisions at now.
func (b *Board) MayDecide(now time.Time) bool { return now.UnixNano() < b.decideUntil.Load() }

// Entry returns the entry of endpoint id and creates it on the first call.
func (b *Board) Entry(id carawaycart.EndpointID) *Entry {
	s := &b.shards[xxhash.Sum64String(string(id))%entryShards]
	s.mu.RLock()
	e := s.entries[id]
	s.mu.RUnlock()
	if e != nil {
		return e
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[id]; e != nil {
		return e
	}
	e = newEntry(id, &b.statusDigest)
	s.entries[id] = e
	return e
}

// IsKeeper reports whether the instance is the keeper of e's endpoint in the current
// view of the fleet.
func (b *Board) IsKeeper(e *Entry) bool { return e.Holders(b.Members()).Keeper == b.Self }

// StatusDigest returns a hash of the statuses of all endpoints; boards with equal
// statuses have equal digests.
func (b *Board) StatusDigest() uint64 { return b.statusDigest.Load() }

// ForEachEntry calls f for each entry, in no particular order and without a lock held.
func (b *Board) ForEachEntry(f func(*Entry)) {
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.RLock()
		entries := make([]*Entry, 0, len(s.entries))
		for _, e := range s.entries {
			entries = append(entries, e)
		}
		s.mu.RUnlock()
		for _, e := range entries {
			f(e)
		}
	}
}

// SetMembers sets the members of the fleet; the slice must not be modified
// afterwards.
func (b *Board) SetMembers(members []carawaycart.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.memberList = members
	b.rebuildMembers()
}

// rebuildMembers replaces the view of the fleet. Instances of zones that are out
// are ineligible. Instances of zones that returned to service are first replicas
// only. b.mu must be held, unless the board is not shared yet.
func (b *Board) rebuildMembers() {
	zones := map[carawaycart.ZoneID]carawaycart.Zone{}
	if v := b.View(); v != nil {
		zones = v.Config.Zones
	}
	v := member.NewView(b.memberList, func(z carawaycart.ZoneID) member.Eligibility {
		if zones[z].Out {
			return member.Ineligible
		}
		if _, ok := b.replicaOnlyUntil[z]; ok {
			return member.ReplicaEligible
		}
		return member.KeeperEligible
	})
	if old := b.members.Load(); old != nil {
		v.SetPrevious(old)
	}
	b.members.Store(v)
}

// recordReturnedZones records the zones that c returns to service at now.
func (b *Board) recordReturnedZones(old *View, c *config.Configuration, now time.Time) {
	if old == nil {
		return
	}
	for id, z := range c.Zones {
		if old.Config.Zones[id].Out && !z.Out {
			b.replicaOnlyUntil[id] = now.Add(zoneReturnDelay)
		}
	}
}

// expireReturnedZones makes zones that returned to service at least zoneReturnDelay
// ago eligible for keepers.
func (b *Board) expireReturnedZones(now time.Time) {
	expired := false
	for id, deadline := range b.replicaOnlyUntil {
		if !now.Before(deadline) {
			delete(b.replicaOnlyUntil, id)
			expired = true
		}
	}
	if expired {
		b.rebuildMembers()
	}
}

// SetConfig applies configuration c, which arrived at now, and returns true. If c
// is not newer than the configuration in force, it does nothing and returns false.
// The first configuration takes effect immediately.
func (b *Board) SetConfig(c *config.Configuration, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.View()
	if old != nil && c.Revision <= old.Config.Revision {
		return false
	}
	for id := range c.Endpoints {
		e := c.Endpoints[id]
		b.Entry(id).endpoint.Store(&e)
	}
	b.recordReturnedZones(old, c, now)
	b.rebuildView(old, c, now)
	b.rebuildMembers()
	return true
}

// Tick switches routes to newer tables and makes returned zones eligible for keepers
// once their delays have passed.
func (b *Board) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expireReturnedZones(now)
	v := b.View()
	if v == nil {
		return
	}
	for _, r := range v.byID {
		if r.Active != r.Latest() || len(r.Recent) > 1 {
			b.rebuildView(v, v.Config, now)
			return
		}
	}
}

// rebuildView replaces the view by one of c. It reuses those routes of the view
// old that are up to date; old may be nil.
func (b *Board) rebuildView(old *View, c *config.Configuration, now time.Time) {
	v := &View{
		Config:    c,
		byAddress: make(map[netip.AddrPort]*ServiceRoute, len(c.Services)),
		byID:      make(map[carawaycart.ServiceID]*ServiceRoute, len(c.Services)),
	}
	for id, s := range c.Services {
		var previous *ServiceRoute
		if old != nil {
			previous = old.byID[id]
		}
		r := b.nextRoute(previous, s, c, now)
		v.byAddress[s.Address] = r
		v.byID[id] = r
	}
	b.view.Store(v)
}

// nextRoute returns the route that follows previous, which may be nil, for service
// s in c at now.
func (b *Board) nextRoute(previous *ServiceRoute, s carawaycart.Service, c *config.Configuration, now time.Time) *ServiceRoute {
	if previous.upToDate(s, c) {
		return previous
	}
	r := &ServiceRoute{Service: s, Profile: c.Profiles[s.Profile], endpointIDs: c.ServiceEndpoints(s.ID)}
	for _, id := range r.endpointIDs {
		r.Entries = append(r.Entries, b.Entry(id))
	}
	slots := c.Slots[s.ID]
	if previous == nil {
		r.Active = b.newTable(slots, time.Time{})
		r.Recent = []*Table{r.Active}
		r.carryActivity(nil)
		return r
	}
	r.Active = previous.Active
	tables := previous.Recent
	if !sharesSlots(previous.Latest().slots, slots) {
		tables = append(tables[:len(tables):len(tables)], b.newTable(slots, now))
	}
	// A table is recent until stabilityDelay after its successor arrived.
	for i, t := range tables {
		if i+1 == len(tables) || now.Sub(tables[i+1].arrivedAt) < stabilityDelay {
			r.Recent = append(r.Recent, t)
		}
		if now.Sub(t.arrivedAt) >= activationDelay {
			r.Active = t
		}
	}
	r.carryActivity(previous.baseActivity)
	return r
}

// upToDate reports whether r is the route of s in c and none of its tables has a
// delay that is still to pass. It returns false if r is nil.
func (r *ServiceRoute) upToDate(s carawaycart.Service, c *config.Configuration) bool {
	return r != nil && len(r.Recent) == 1 && r.Active == r.Recent[0] && r.Service == s && r.Profile == c.Profiles[s.Profile] &&
		sharesSlots(r.Active.slots, c.Slots[s.ID]) && sameSlice(r.endpointIDs, c.ServiceEndpoints(s.ID))
}

// sameSlice reports whether a and b are the same slice. The endpoint IDs of a
// service are the same slice in two configurations if no change between them
// affected the service.
func sameSlice(a, b []carawaycart.EndpointID) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// sharesSlots reports whether a and b share the memory of their slots. The tables
// of a service do so in two configurations if no change between them affected the
// service. Both must have slots.
func sharesSlots(a, b carawaycart.SlotTable) bool {
	return len(a.Base) == len(b.Base) && &a.Base[0] == &b.Base[0]
}

// newTable resolves slots to a table that arrived at arrivedAt; the zero time
// makes it active immediately.
func (b *Board) newTable(slots carawaycart.SlotTable, arrivedAt time.Time) *Table {
	t := &Table{slots: slots, arrivedAt: arrivedAt}
	for _, id := range slots.Members {
		t.entries = append(t.entries, b.Entry(id))
	}
	return t
}

// carryActivity sets the activity of r to old, that of the route before it. If
// old is nil or has another number of slots, it sets an empty activity instead. It
// does nothing if the latest table has no dirty slot.
func (r *ServiceRoute) carryActivity(old *baseActivity) {
	n := r.Latest().Len()
	switch {
	case r.Latest().DirtyCount() == 0:
	case old != nil && len(old.lastBaseUse) == n:
		r.baseActivity = old
	default:
		r.baseActivity = &baseActivity{lastBaseUse: make([]atomic.Uint32, n)}
	}
}
