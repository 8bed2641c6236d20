package edge

import (
	"strconv"
	"sync"
	"time"

	"carawaycart"
	"carawaycart/core/config"
	"carawaycart/core/directory"
	"carawaycart/core/steer"
	"carawaycart/internal/eventlog"
	"carawaycart/platform"
)

// Largest differences between the view's position and that of an update or snapshot that
// is believed. A position that was damaged would otherwise make the view take every later
// read for an old one.
const (
	maxRevisionAdvance = 1 << 32
	maxEraAdvance      = 1 << 16
)

// maxUpdateDelay is the longest time that a peer's word of a read is taken to have been under
// way. The read may have begun earlier by that than it seems.
const maxUpdateDelay = time.Second

// View is the instance's replica of the platform's store. It rebuilds the router's
// table when the replica changes. It is safe for concurrent use.
type View struct {
	self   carawaycart.InstanceID
	limits steer.ColdLimits
	router *steer.Router
	clock  carawaycart.Clock
	log    *eventlog.Log

	mu             sync.Mutex
	directory      *directory.Directory
	tracker        *directory.LifetimeTracker // presence of each lifetime
	retention      directory.Retention        // keeps what a restore of the store has removed
	returns        directory.ZoneReturns      // zones that have lately been taken back
	registered     []carawaycart.Registration // instances listed in the store
	contents       directory.Contents
	operatorConfig *config.Configuration // set by operators with the carawaycart commands
	lost           lostChanges
	lastReadAt     time.Time             // start of the last known read of the store
	storeFailure   time.Time             // time of the last known store failure
	failedReads    directory.FailedReads // failed reads by this instance and its peers
	renewed        chan struct{}         // closed and replaced when lastReadAt advances
}

// NewView returns an empty view for instance self that sets the tables of r.
func NewView(self carawaycart.InstanceID, l steer.ColdLimits, r *steer.Router, k carawaycart.Clock, log *eventlog.Log) *View {
	return &View{
		self: self, limits: l, router: r, clock: k, log: log,
		directory: directory.New(platform.DecodeItem), tracker: directory.NewLifetimeTracker(), renewed: make(chan struct{}),
		operatorConfig: config.New(),
	}
}

// SetLimits sets the limits of the router's table, and rebuilds the table if they
// changed.
func (v *View) SetLimits(l steer.ColdLimits) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.limits == l {
		return
	}
	v.limits = l
	if v.directory.Position().Revision != 0 {
		v.rebuild("settings", v.clock.Now())
	}
}

// State is the state of a view at one moment.
type State struct {
	Position     directory.Position         // position up to which the view is complete
	LastReadAt   time.Time                  // start of the last known read of the store; zero if none
	StoreFailure time.Time                  // last known store failure that was not only a gap between reads; zero if none
	LastFailure  time.Time                  // last known store failure of any kind; zero if none
	FailedReads  directory.FailedReads      // failed reads by this instance and its peers
	ItemsRefused int                        // items received so far that could not be decoded
	Instances    []carawaycart.Registration // instances listed in the store, now or before a restore
	Registered   []carawaycart.Registration // instances listed in the store now
	Renewed      <-chan struct{}            // closed when LastReadAt advances
}

// State returns the state of the view.
func (v *View) State() State {
	v.mu.Lock()
	defer v.mu.Unlock()
	return State{
		Position: v.directory.Position(), LastReadAt: v.lastReadAt, StoreFailure: v.storeFailure, LastFailure: v.tracker.LastFailure(),
		FailedReads: v.failedReads.Clone(), ItemsRefused: v.directory.DecodeFailures(), Instances: v.contents.Instances, Registered: v.registered,
		Renewed: v.renewed,
	}
}

// ApplyRead applies a read of the store that began at began, and returns the delta
// between the view and the read. A read older than the view is ignored, and its delta
// is empty.
func (v *View) ApplyRead(r platform.RangeResult, began time.Time) directory.Delta {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := directory.Position{Era: r.Era, Revision: r.Revision}
	before, changes := v.directory.Position(), v.directory.Changes()
	delta := v.directory.ApplyRead(r.Items, at)
	v.recordRestore(before, "store")
	if !at.Before(v.directory.Position()) {
		v.recordRead(began, "store", v.directory.Changes() != changes)
		v.confirmRoutes(began)
	}
	return delta
}

// ApplyUpdate applies a delta received from the peer from, for a read of the store
// that began at began. It returns false if the delta begins at a later position than
// the view has, or is of a later era, so that a snapshot is needed.
func (v *View) ApplyUpdate(delta directory.Delta, from string, began time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.believes(delta.To) {
		return true // nothing that a snapshot could mend
	}
	changes := v.directory.Changes()
	if !v.directory.ApplyDelta(delta) {
		return false
	}
	v.retain(delta.To, delta.Items)
	if !delta.To.Before(v.directory.Position()) {
		v.recordRead(began, from, v.directory.Changes() != changes)
		v.confirmRoutes(began.Add(-maxUpdateDelay))
	}
	return true
}

// ApplyAhead applies those of items, which are ahead of the view and of the given era, that
// limit the new flows of an endpoint, and returns them. The source is the peer that sent
// them, or "watch".
func (v *View) ApplyAhead(items []carawaycart.StoreItem, era carawaycart.StoreEra, source string) []carawaycart.StoreItem {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	var applied []carawaycart.StoreItem
	for _, i := range items {
		decoded, err := platform.DecodeItem(i)
		l := decoded.Lifetime
		if err != nil || l == nil || !v.tracker.IsUrgent(l, now) || !v.directory.ApplyAhead(i, era) {
			continue // the next read tells
		}
		applied = append(applied, i)
		v.log.Event("entryAhead").Text("endpoint", string(l.ID)).Int("born", int64(l.StartedAt)).Millis("coldMs", l.ColdRemaining).
			Int("revision", int64(i.Revision)).Text("source", source).End()
	}
	if len(applied) > 0 {
		v.rebuild(source, now)
	}
	return applied
}

// ApplySnapshot applies a snapshot received from the peer from, for a read of the
// store that began at began. It returns false if the snapshot holds a delta that the
// view cannot apply, so that one without is needed.
func (v *View) ApplySnapshot(snapshot directory.Snapshot, from string, began time.Time) bool {
	if snapshot.Delta != nil {
		return v.ApplyUpdate(*snapshot.Delta, from, began)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.believes(snapshot.At) {
		return true // nothing that another snapshot could mend
	}
	endedAdded := v.tracker.RecordEnded(snapshot.Ended, v.clock.Now())
	before, changes := v.directory.Position(), v.directory.Changes()
	v.directory.ApplySnapshot(snapshot)
	v.recordRestore(before, from)
	v.retain(snapshot.At, snapshot.Items)
	changed := endedAdded || v.directory.Changes() != changes
	if !snapshot.At.Before(v.directory.Position()) {
		v.recordRead(began, from, changed)
		v.confirmRoutes(began.Add(-maxUpdateDelay))
	} else if changed {
		v.rebuild(from, v.clock.Now())
	}
	return true
}

// retain stores the configuration among items, which a peer holds at the position at, if
// it was in force before a restore of the store. v.mu must be held.
func (v *View) retain(at directory.Position, items []carawaycart.StoreItem) {
	if at.Era != v.directory.Position().Era {
		return
	}
	for _, i := range items {
		if v.directory.Retain(i) {
			v.log.Event("configurationRetained").Int("revision", int64(i.Revision)).Int("era", int64(at.Era)).End()
		}
	}
}

// recordRestore records that the store was restored if the directory has entered a later
// era since it was at before. What the store then lacks, or holds in an older form, may be
// written again. The source is the peer that sent the read, or "store". v.mu must be held.
func (v *View) recordRestore(before directory.Position, source string) {
	after := v.directory.Position()
	if before.Revision == 0 || after.Era == before.Era {
		return
	}
	v.lost.add(v.directory.TakeLost())
	now := v.clock.Now()
	v.recordStoreFailure(now)
	v.tracker.RecordRestore(now)
	v.retention.RecordRestore(now)
	v.log.Event("storeRestored").Int("era", int64(after.Era)).Int("revision", int64(after.Revision)).
		Int("eraBefore", int64(before.Era)).Int("revisionBefore", int64(before.Revision)).Text("source", source).End()
}

// believes reports whether p, which a peer has sent, may be a position of the store. It
// logs one that is not. v.mu must be held.
func (v *View) believes(p directory.Position) bool {
	own := v.directory.Position()
	switch {
	case own.Revision == 0 || p.Era < own.Era:
		return true
	case p.Era == own.Era && (p.Revision <= own.Revision || p.Revision-own.Revision <= maxRevisionAdvance):
		return true
	case p.Era > own.Era && p.Era-own.Era <= maxEraAdvance:
		return true
	}
	v.log.Event("revisionRefused").Text("received", strconv.FormatUint(uint64(p.Revision), 10)).Text("own", strconv.FormatUint(uint64(own.Revision), 10)).
		Int("receivedEra", int64(p.Era)).Int("ownEra", int64(own.Era)).End()
	return false
}

// recordRead records that the directory is complete up to a read of the store that
// began at began. It rebuilds the router's table if the directory has changed, or
// if time alone may change a lifetime or what is retained. The source is the peer that
// sent the read, or "store". v.mu must be held.
func (v *View) recordRead(began time.Time, source string, changed bool) {
	now := v.clock.Now()
	v.tracker.RecordRead(began, now)
	if began.After(v.lastReadAt) {
		v.lastReadAt = began
		v.failedReads.RecordRead()
		close(v.renewed)
		v.renewed = make(chan struct{})
	}
	if changed || v.tracker.MayChange() || v.retention.MayChange() {
		v.rebuild(source, now)
	}
}

// confirmRoutes records that a read of the store that began at began, or later, has shown the
// routes of the router's table. It does nothing if they are not those of the store, or if
// operators may still write what a restore of the store has removed. v.mu must be held.
func (v *View) confirmRoutes(began time.Time) {
	t := v.router.Table()
	if t == nil || v.contents.ConfigRetained || v.retention.MayLack(began) {
		return
	}
	t.RecordRead(began)
}

// rebuild replaces the router's table with one for the directory as of now. The
// source of the change is only logged. v.mu must be held.
func (v *View) rebuild(source string, now time.Time) {
	v.contents = v.directory.Contents()
	for _, r := range v.directory.TakeRefusals() {
		v.log.Event("itemRefused").Text("key", r.Key).Int("revision", int64(r.Revision)).Err(r.Err).End()
	}
	invalidRoutes, ignoredValues, unknownKinds := 0, 0, 0
	if c := v.contents.Config; c != nil {
		invalidRoutes, ignoredValues = c.InvalidRoutes, c.IgnoredValues
		for i := range c.Routes {
			unknownKinds += int(boolToInt(c.Routes[i].Kind == carawaycart.RequestUnknown))
		}
	}
	v.lost.prune(v.directory, v.log)
	operatorConfig, err := loadOperatorConfig(v.directory, v.lost, v.clock)
	if err != nil {
		// The last valid configuration stays in effect.
		v.log.Event("profilesRefused").Err(err).End()
	} else if operatorConfig.Revision >= v.operatorConfig.Revision {
		v.operatorConfig = operatorConfig
	}
	profiles := applyOperatorConfig(&v.contents, v.operatorConfig)
	v.registered = v.contents.Instances
	v.retention.ApplyContents(&v.contents, now)
	v.tracker.ApplyContents(&v.contents, now)
	v.returns.ApplyContents(&v.contents, now)
	table := steer.NewTable(&steer.Input{
		Contents: v.contents, Revision: v.directory.Position().Revision, Lifetimes: v.tracker, ZonesColdUntil: v.returns.ColdUntil(), Self: v.self, Limits: v.limits, Profiles: profiles,
	}, v.router.Table(), now)
	v.router.SetTable(table)
	v.log.Event("view").Int("revision", int64(table.Revision)).Int("era", int64(v.directory.Position().Era)).Int("config", int64(table.ConfigVersion)).
		Int("lifetimes", int64(len(v.contents.Lifetimes))).Int("instances", int64(len(v.contents.Instances))).
		Int("zonesOut", int64(len(v.contents.ZonesOut))).Int("refused", int64(v.directory.DecodeFailures())).Int("invalidRoutes", int64(invalidRoutes)).Int("ignoredValues", int64(ignoredValues)).Int("unknownKinds", int64(unknownKinds)).
		Int("profiles", int64(v.operatorConfig.Revision)).
		Text("source", source).Millis("ageMs", now.Sub(v.lastReadAt)).End()
}

// RecordStoreFailure records that the store failed to answer at when.
func (v *View) RecordStoreFailure(when time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.recordStoreFailure(when)
}

// recordStoreFailure is like RecordStoreFailure, but v.mu must be held.
func (v *View) recordStoreFailure(when time.Time) {
	if when.After(v.storeFailure) {
		v.storeFailure = when
		v.tracker.RecordStoreFailure(when)
	}
}

// RecordPastFailure records a failure of the store, or a gap between reads, that a peer has
// told with its snapshot. It is not told to others.
func (v *View) RecordPastFailure(when time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.RecordStoreFailure(when)
}

// RecordFailedRead records that a read by the instance id failed at when. The store may
// fail for that instance alone.
func (v *View) RecordFailedRead(id carawaycart.InstanceID, when time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failedReads.RecordFailure(id, when)
}

// Has reports whether the view has an item with the given key.
func (v *View) Has(key string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, ok := v.directory.Item(key)
	return ok
}

// DueZoneRecords returns the changes of the records of zones that are due now.
func (v *View) DueZoneRecords() []directory.ZoneRecordChange {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.returns.Due(v.clock.Now())
}

// LostChanges returns the oldest entries of the change log that a restore of the store has
// removed, in order.
func (v *View) LostChanges() []carawaycart.StoreItem {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.lost.oldest()
}

// EndedLifetimes returns the lifetimes that have ended recently, which the store does not
// list.
func (v *View) EndedLifetimes() []directory.EndedLifetime {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.EndedLifetimes()
}

// RecordEnded records lifetimes that the peer from reports as ended.
func (v *View) RecordEnded(ended []directory.EndedLifetime, from string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	if v.tracker.RecordEnded(ended, now) {
		v.rebuild(from, now)
	}
}

// SnapshotSince returns the snapshot that a peer needs whose view is complete up to
// the position p, and the start of the read of the store that the snapshot reflects. The
// snapshot holds only a delta if the peer accepts one and the removals are known.
func (v *View) SnapshotSince(p directory.Position, acceptsDelta bool) (directory.Snapshot, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if acceptsDelta {
		if delta, ok := v.directory.DeltaSince(p); ok {
			return directory.Snapshot{At: delta.To, Delta: &delta}, v.lastReadAt
		}
	}
	snapshot := v.directory.SnapshotSince(p)
	snapshot.Ended = v.tracker.EndedLifetimes()
	return snapshot, v.lastReadAt
}
