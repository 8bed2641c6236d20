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

// maxRevisionAdvance is the largest difference between the view's revision and that of
// an update or snapshot that is believed. A revision that was damaged would otherwise make
// the view take every later read for an old one.
const maxRevisionAdvance = 1 << 32

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
	contents       directory.Contents
	operatorConfig *config.Configuration // set by operators with the carawaycart commands
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
	if v.directory.Revision() != 0 {
		v.rebuild("settings", v.clock.Now())
	}
}

// State is the state of a view at one moment.
type State struct {
	Revision     carawaycart.StoreRevision  // revision up to which the view is complete
	LastReadAt   time.Time                  // start of the last known read of the store; zero if none
	StoreFailure time.Time                  // last known store failure that was not only a gap between reads; zero if none
	LastFailure  time.Time                  // last known store failure of any kind; zero if none
	FailedReads  directory.FailedReads      // failed reads by this instance and its peers
	ItemsRefused int                        // items received so far that could not be decoded
	Instances    []carawaycart.Registration // instances listed in the store
	Renewed      <-chan struct{}            // closed when LastReadAt advances
}

// State returns the state of the view.
func (v *View) State() State {
	v.mu.Lock()
	defer v.mu.Unlock()
	return State{
		Revision: v.directory.Revision(), LastReadAt: v.lastReadAt, StoreFailure: v.storeFailure, LastFailure: v.tracker.LastFailure(),
		FailedReads: v.failedReads.Clone(), ItemsRefused: v.directory.DecodeFailures(), Instances: v.contents.Instances, Renewed: v.renewed,
	}
}

// ApplyRead applies a read of the store that began at began, and returns the delta
// between the view and the read. A read older than the view is ignored, and its delta
// is empty.
func (v *View) ApplyRead(r platform.RangeResult, began time.Time) directory.Delta {
	v.mu.Lock()
	defer v.mu.Unlock()
	delta := v.directory.ApplyRead(r.Items, r.Revision)
	if r.Revision >= v.directory.Revision() {
		v.recordRead(began, "store", !delta.Empty())
	}
	return delta
}

// ApplyUpdate applies a delta received from the peer from, for a read of the store
// that began at began. It returns false if the delta begins at a later revision than
// the view has, so that a snapshot is needed.
func (v *View) ApplyUpdate(delta directory.Delta, from string, began time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.directory.Revision()
	if !v.believes(delta.To) {
		return true // nothing that a snapshot could mend
	}
	if !v.directory.ApplyDelta(delta) {
		return false
	}
	if delta.To >= v.directory.Revision() {
		v.recordRead(began, from, delta.To > before && !delta.Empty())
	}
	return true
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
	if !v.believes(snapshot.Revision) {
		return true // nothing that another snapshot could mend
	}
	endedAdded := v.tracker.RecordEnded(snapshot.Ended, v.clock.Now())
	changed := v.directory.ApplySnapshot(snapshot) || endedAdded
	if snapshot.Revision >= v.directory.Revision() {
		v.recordRead(began, from, changed)
	} else if endedAdded {
		v.rebuild(from, v.clock.Now())
	}
	return true
}

// believes reports whether r, which a peer has sent, may be a revision of the store. It
// logs one that is not. v.mu must be held.
func (v *View) believes(r carawaycart.StoreRevision) bool {
	own := v.directory.Revision()
	if own == 0 || r <= own || r-own <= maxRevisionAdvance {
		return true
	}
	v.log.Event("revisionRefused").Text("received", strconv.FormatUint(uint64(r), 10)).Text("own", strconv.FormatUint(uint64(own), 10)).End()
	return false
}

// recordRead records that the directory is complete up to a read of the store that
// began at began. It rebuilds the router's table if the directory has changed, or
// if a lifetime is lapsed, since it may end without such a change. The source is the
// peer that sent the read, or "store". v.mu must be held.
func (v *View) recordRead(began time.Time, source string, changed bool) {
	now := v.clock.Now()
	v.tracker.RecordRead(began, now)
	if began.After(v.lastReadAt) {
		v.lastReadAt = began
		v.failedReads.RecordRead()
		close(v.renewed)
		v.renewed = make(chan struct{})
	}
	if changed || v.tracker.HasLapsed() {
		v.rebuild(source, now)
	}
}

// rebuild replaces the router's table with one for the directory as of now. The
// source of the change is only logged. v.mu must be held.
func (v *View) rebuild(source string, now time.Time) {
	v.contents = v.directory.Contents()
	for _, r := range v.directory.TakeRefusals() {
		v.log.Event("itemRefused").Text("key", r.Key).Int("revision", int64(r.Revision)).Err(r.Err).End()
	}
	invalidRoutes, unknownKinds := 0, 0
	if c := v.contents.Config; c != nil {
		invalidRoutes = c.InvalidRoutes
		for i := range c.Routes {
			unknownKinds += int(boolToInt(c.Routes[i].Kind == carawaycart.RequestUnknown))
		}
	}
	operatorConfig, err := loadOperatorConfig(v.directory, v.clock)
	if err != nil {
		// The last valid configuration stays in effect.
		v.log.Event("profilesRefused").Err(err).End()
	} else if operatorConfig.Revision >= v.operatorConfig.Revision {
		v.operatorConfig = operatorConfig
	}
	profiles := applyOperatorConfig(&v.contents, v.operatorConfig)
	v.tracker.ApplyContents(&v.contents, now)
	table := steer.NewTable(&steer.Input{
		Contents: v.contents, Revision: v.directory.Revision(), Lifetimes: v.tracker, Self: v.self, Limits: v.limits, Profiles: profiles,
	}, v.router.Table(), now)
	v.router.SetTable(table)
	v.log.Event("view").Int("revision", int64(v.directory.Revision())).Int("config", int64(table.ConfigVersion)).
		Int("lifetimes", int64(len(v.contents.Lifetimes))).Int("instances", int64(len(v.contents.Instances))).
		Int("zonesOut", int64(len(v.contents.ZonesOut))).Int("refused", int64(v.directory.DecodeFailures())).Int("invalidRoutes", int64(invalidRoutes)).Int("unknownKinds", int64(unknownKinds)).
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

// RecordFailedRead records that a read by the instance id failed at when. The store may
// fail for that instance alone.
func (v *View) RecordFailedRead(id carawaycart.InstanceID, when time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failedReads.RecordFailure(id, when)
}

// EndedLifetimes returns the lifetimes that have ended recently, which the store does not
// list.
func (v *View) EndedLifetimes() []carawaycart.LifetimeKey {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.EndedLifetimes()
}

// RecordEnded records lifetimes that the peer from reports as ended.
func (v *View) RecordEnded(keys []carawaycart.LifetimeKey, from string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	if v.tracker.RecordEnded(keys, now) {
		v.rebuild(from, now)
	}
}

// SnapshotSince returns the snapshot that a peer needs whose view is complete up to
// revision, and the start of the read of the store that the snapshot reflects. The
// snapshot holds only a delta if the peer accepts one and the removals are known.
func (v *View) SnapshotSince(revision carawaycart.StoreRevision, acceptsDelta bool) (directory.Snapshot, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if acceptsDelta {
		if delta, ok := v.directory.DeltaSince(revision); ok {
			return directory.Snapshot{Revision: delta.To, Delta: &delta}, v.lastReadAt
		}
	}
	snapshot := v.directory.SnapshotSince(revision)
	snapshot.Ended = v.tracker.EndedLifetimes()
	return snapshot, v.lastReadAt
}
