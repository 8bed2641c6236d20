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
	activatePeriod = time.Second     // until every instance has a revision
	stablePeriod   = 2 * time.Second // until every instance follows its tables
	returnPeriod   = 2 * time.Second // until the instances of a zone that is back hold what they will keep
	entryShards    = 64
)

// View is the configuration with its routes at one moment; it is immutable.
type View struct {
	Config   *config.Configuration
	services map[netip.AddrPort]*ServiceRoute
	byID     map[carawaycart.ServiceID]*ServiceRoute
}

// Service returns the route of the service at address a, or nil.
func (v *View) Service(a netip.AddrPort) *ServiceRoute { return v.services[a] }

// ServiceByID returns the route of service id, or nil.
func (v *View) ServiceByID(id carawaycart.ServiceID) *ServiceRoute { return v.byID[id] }

// Services returns all routes by service; the map must not be modified.
func (v *View) Services() map[carawaycart.ServiceID]*ServiceRoute { return v.byID }

// Board is the blackboard of one instance; it is safe for concurrent use.
type Board struct {
	Self carawaycart.InstanceID

	view         atomic.Pointer[View]
	members      atomic.Pointer[member.View]
	statusDigest atomic.Uint64
	awake        atomic.Int64 // Unix nanoseconds until which the instance may decide

	mu       sync.Mutex // guards updates of view and members
	latest   []carawaycart.Member
	returned map[carawaycart.ZoneID]time.Time // until when zones that are back only hold replicas
	shards   [entryShards]entryShard
}

type entryShard struct {
	mu      sync.RWMutex
	entries map[carawaycart.EndpointID]*Entry
}

// New returns the board of instance self, without configuration or members.
func New(self carawaycart.InstanceID) *Board {
	b := &Board{Self: self, returned: make(map[carawaycart.ZoneID]time.Time)}
	for i := range b.shards {
		b.shards[i].entries = make(map[carawaycart.EndpointID]*Entry)
	}
	b.rebuildMembers()
	return b
}

// View returns the configuration in force, or nil before the first one.
func (b *Board) View() *View { return b.view.Load() }

// Members returns the view of the fleet.
func (b *Board) Members() *member.View { return b.members.Load() }

// Revision returns the revision of the configuration, or zero.
func (b *Board) Revision() carawaycart.Revision {
	if v := b.View(); v != nil {
		return v.Config.Revision
	}
	return 0
}

// StayAwake lets the instance decide until deadline. An instance that was paused
// past its deadline has to learn first what changed and whether it was replaced.
func (b *Board) StayAwake(deadline time.Time) { b.awake.Store(deadline.UnixNano()) }

// Awake reports whether the instance may decide at now.
func (b *Board) Awake(now time.Time) bool { return now.UnixNano() < b.awake.Load() }

// Entry returns the entry of endpoint id, made at the first call.
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

// Keeps reports whether the instance is the keeper of endpoint e.
func (b *Board) Keeps(e *Entry) bool { return e.Holders(b.Members()).Keeper == b.Self }

// StatusDigest returns a hash of the statuses of all endpoints; boards with equal
// statuses have equal digests.
func (b *Board) StatusDigest() uint64 { return b.statusDigest.Load() }

// Entries calls f for each entry, in no order.
func (b *Board) Entries(f func(*Entry)) {
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

// SetMembers takes in the members of the fleet.
func (b *Board) SetMembers(members []carawaycart.Member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.latest = members
	b.rebuildMembers()
}

// rebuildMembers gives no duties to the instances of zones that are out, and
// lets those of zones that came back receive replicas first.
func (b *Board) rebuildMembers() {
	zones := map[carawaycart.ZoneID]carawaycart.Zone{}
	if v := b.View(); v != nil {
		zones = v.Config.Zones
	}
	v := member.NewView(b.latest, func(z carawaycart.ZoneID) member.Duty {
		if zones[z].Out {
			return member.DutyNone
		}
		if _, ok := b.returned[z]; ok {
			return member.DutyReplica
		}
		return member.DutyFull
	})
	if old := b.members.Load(); old != nil {
		v.SetPrevious(old)
	}
	b.members.Store(v)
}

// noteReturns notes the zones that c brings back at now.
func (b *Board) noteReturns(old *View, c *config.Configuration, now time.Time) {
	if old == nil {
		return
	}
	for id, z := range c.Zones {
		if old.Config.Zones[id].Out && !z.Out {
			b.returned[id] = now.Add(returnPeriod)
		}
	}
}

// endReturns gives duties to zones that have been back for long enough.
func (b *Board) endReturns(now time.Time) {
	ended := false
	for id, deadline := range b.returned {
		if !now.Before(deadline) {
			delete(b.returned, id)
			ended = true
		}
	}
	if ended {
		b.rebuildMembers()
	}
}

// SetConfig takes in a configuration that arrived at now and reports whether it
// is newer than the one held. The first one takes effect at once.
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
	b.noteReturns(old, c, now)
	b.rebuild(old, c, now)
	b.rebuildMembers()
	return true
}

// Tick lets routes follow newer tables as their periods pass.
func (b *Board) Tick(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endReturns(now)
	v := b.View()
	if v == nil {
		return
	}
	for _, r := range v.byID {
		if r.Active != r.Latest() || len(r.Recent) > 1 {
			b.rebuild(v, v.Config, now)
			return
		}
	}
}

func (b *Board) rebuild(old *View, c *config.Configuration, now time.Time) {
	v := &View{
		Config:   c,
		services: make(map[netip.AddrPort]*ServiceRoute, len(c.Services)),
		byID:     make(map[carawaycart.ServiceID]*ServiceRoute, len(c.Services)),
	}
	for id, s := range c.Services {
		var previous *ServiceRoute
		if old != nil {
			previous = old.byID[id]
		}
		r := b.route(previous, s, c, now)
		v.services[s.Address] = r
		v.byID[id] = r
	}
	b.view.Store(v)
}

func (b *Board) route(previous *ServiceRoute, s carawaycart.Service, c *config.Configuration, now time.Time) *ServiceRoute {
	if previous.same(s, c) {
		return previous
	}
	r := &ServiceRoute{Service: s, Profile: c.Profiles[s.Profile], members: c.ServiceEndpoints(s.ID)}
	for _, id := range r.members {
		r.Entries = append(r.Entries, b.Entry(id))
	}
	slots := c.Slots[s.ID]
	if previous == nil {
		r.Active = b.table(slots, time.Time{})
		r.Recent = []*Table{r.Active}
		r.keepActivity(nil)
		return r
	}
	r.Active = previous.Active
	tables := previous.Recent
	if !sameTable(previous.Latest().slots, slots) {
		tables = append(tables[:len(tables):len(tables)], b.table(slots, now))
	}
	// A table matters until its successor has been in force for stablePeriod.
	for i, t := range tables {
		if i+1 == len(tables) || now.Sub(tables[i+1].since) < stablePeriod {
			r.Recent = append(r.Recent, t)
		}
		if now.Sub(t.since) >= activatePeriod {
			r.Active = t
		}
	}
	r.keepActivity(previous.activity)
	return r
}

// same reports whether c leaves everything about the route as it is, and no
// period of it is still to pass.
func (r *ServiceRoute) same(s carawaycart.Service, c *config.Configuration) bool {
	return r != nil && len(r.Recent) == 1 && r.Active == r.Recent[0] && r.Service == s && r.Profile == c.Profiles[s.Profile] &&
		sameTable(r.Active.slots, c.Slots[s.ID]) && sameMembers(r.members, c.ServiceEndpoints(s.ID))
}

func sameMembers(a, b []carawaycart.EndpointID) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// sameTable reports whether a and b share their slots, as the tables of
// services that a change does not touch do.
func sameTable(a, b carawaycart.SlotTable) bool {
	return len(a.Base) == len(b.Base) && &a.Base[0] == &b.Base[0]
}

func (b *Board) table(slots carawaycart.SlotTable, since time.Time) *Table {
	t := &Table{slots: slots, since: since}
	for _, id := range slots.Members {
		t.entries = append(t.entries, b.Entry(id))
	}
	return t
}

// keepActivity carries the activity of a dirty table on.
func (r *ServiceRoute) keepActivity(old *activity) {
	n := r.Latest().Len()
	switch {
	case r.Latest().Dirty() == 0:
	case old != nil && len(old.seen) == n:
		r.activity = old
	default:
		r.activity = &activity{seen: make([]atomic.Uint32, n)}
	}
}
