package edge

import (
	"sync"
	"time"

	"carawaycart"
	"carawaycart/core/config"
	"carawaycart/core/directory"
	"carawaycart/core/steer"
	"carawaycart/internal/eventlog"
	"carawaycart/platform"
)

// gapLimit is how long the store may go unread before an entry that went
// missing meanwhile may only have lapsed; reads are about a second apart.
const gapLimit = 2500 * time.Millisecond

// View is the instance's copy of the platform's store, and the table of the
// router that follows from it; it is safe for concurrent use.
type View struct {
	self   carawaycart.InstanceID
	limits steer.Limits
	router *steer.Router
	clock  carawaycart.Clock
	log    *eventlog.Log

	mu        sync.Mutex
	directory *directory.Directory
	roster    *directory.Roster
	contents  directory.Contents
	own       *config.Configuration // that operators set by the product's commands
	confirmed time.Time             // when the store was read last, as far as is known here
	trouble   time.Time             // when the store was last known to be in trouble
	moved     chan struct{}
}

// NewView returns an empty view whose tables go to r.
func NewView(self carawaycart.InstanceID, l steer.Limits, r *steer.Router, k carawaycart.Clock, log *eventlog.Log) *View {
	return &View{
		self: self, limits: l, router: r, clock: k, log: log,
		directory: directory.New(platform.Decode), roster: directory.NewRoster(), moved: make(chan struct{}),
		own: config.New(),
	}
}

// SetLimits makes the tables that follow obey l.
func (v *View) SetLimits(l steer.Limits) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.limits == l {
		return
	}
	v.limits = l
	if v.directory.At() != 0 {
		v.rebuild("settings", v.clock.Now())
	}
}

// State is what the view is at one moment.
type State struct {
	At        carawaycart.StoreRevision
	Confirmed time.Time // zero if the store has not been read
	Trouble   time.Time
	Instances []carawaycart.Registration
	Moved     <-chan struct{} // closed when a later read of the store becomes known
}

// State returns the state of the view.
func (v *View) State() State {
	v.mu.Lock()
	defer v.mu.Unlock()
	return State{
		At: v.directory.At(), Confirmed: v.confirmed, Trouble: v.trouble,
		Instances: v.contents.Instances, Moved: v.moved,
	}
}

// TakeRead takes in a read of the store that began at began, and returns what
// it changed.
func (v *View) TakeRead(r platform.Read, began time.Time) directory.Difference {
	v.mu.Lock()
	defer v.mu.Unlock()
	change := v.directory.Replace(r.Items, r.At)
	if r.At >= v.directory.At() {
		v.confirm(began, "store", !change.Empty())
	}
	return change
}

// TakeNews takes in a difference that peer from told of, for a read of the store
// that began at began. It reports whether the view is now whole up to there.
func (v *View) TakeNews(change directory.Difference, from string, began time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.directory.At()
	if !v.directory.Apply(change) {
		return false
	}
	if change.To >= v.directory.At() {
		v.confirm(began, from, change.To > before && !change.Empty())
	}
	return true
}

// TakeCopy takes in the copy of peer from, for a read that began at began.
func (v *View) TakeCopy(c directory.Copy, from string, began time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	remembered := v.roster.Remember(c.Ended, v.clock.Now())
	changed := v.directory.Adopt(c) || remembered
	if c.At >= v.directory.At() {
		v.confirm(began, from, changed)
	} else if remembered {
		v.rebuild(from, v.clock.Now())
	}
}

// confirm notes that the directory was whole when the store was read at began.
func (v *View) confirm(began time.Time, source string, changed bool) {
	now := v.clock.Now()
	if began.Sub(v.confirmed) > gapLimit && !v.confirmed.IsZero() {
		v.noteTrouble(now)
	}
	if began.After(v.confirmed) {
		v.confirmed = began
		close(v.moved)
		v.moved = make(chan struct{})
	}
	if changed || v.roster.Lapsing() {
		v.rebuild(source, now)
	}
}

// rebuild makes the router decide by the directory as it is at now.
func (v *View) rebuild(source string, now time.Time) {
	v.contents = v.directory.Contents()
	own, err := operatorsConfig(v.directory, v.clock)
	if err != nil {
		// The last good one stays in force.
		v.log.Event("profilesRefused").Err(err).End()
	} else if own.Revision >= v.own.Revision {
		v.own = own
	}
	profiles := applyOperators(&v.contents, v.own)
	v.roster.Update(&v.contents, now)
	t := steer.NewTable(&steer.Input{
		Contents: v.contents, Revision: v.directory.At(), Roster: v.roster, Self: v.self, Limits: v.limits, Profiles: profiles,
	}, v.router.Table(), now)
	v.router.SetTable(t)
	v.log.Event("view").Int("revision", int64(v.directory.At())).Int("config", int64(t.Version)).
		Int("lifetimes", int64(len(v.contents.Lifetimes))).Int("instances", int64(len(v.contents.Instances))).
		Int("zonesOut", int64(len(v.contents.ZonesOut))).Int("refused", int64(v.directory.Refused())).Int("profiles", int64(v.own.Revision)).
		Text("source", source).Millis("ageMs", now.Sub(v.confirmed)).End()
}

// Trouble notes that the store was in trouble at when.
func (v *View) Trouble(when time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.noteTrouble(when)
}

func (v *View) noteTrouble(when time.Time) {
	if when.After(v.trouble) {
		v.trouble = when
		v.roster.Trouble(when)
	}
}

// Since returns what a peer that is whole at revision r lacks, and when the
// store was read for it.
func (v *View) Since(r carawaycart.StoreRevision) (directory.Copy, time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := v.directory.Since(r)
	c.Ended = v.roster.Ended()
	return c, v.confirmed
}
