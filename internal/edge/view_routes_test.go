package edge

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/directory"
	"carawaycart/platform"
)

// withoutRoute is the version of testConfig that removes its route.
var withoutRoute = strings.NewReplacer(`"version":1`, `"version":2`,
	testConfig[strings.Index(testConfig, `{"name":"feed"`):strings.Index(testConfig, `],"services"`)], "").Replace(testConfig)

// apply applies a read of the store that begins at began and ends at d, and returns the entry
// of i-1 and the given configuration.
func (f *viewFixture) apply(began, d time.Duration, at directory.Position, config carawaycart.StoreItem) {
	f.at(d)
	f.ApplyRead(platform.RangeResult{Era: at.Era, Revision: at.Revision, Items: []carawaycart.StoreItem{
		config, testItem("servers/i-1", 9, testEntry),
	}}, f.began.Add(began))
}

// An instance has read that a route is removed, and then meets a flow on it. Guards against
// resetting the flow before a read that began later tells that the route is still missing:
// the route may have been added again.
func TestFlowOnRemovedRouteIsResetByLaterRead(t *testing.T) {
	const removed, seen, later = 600 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second
	own := directory.Position{Revision: 11}
	without := testItem("op/config", 11, withoutRoute)
	for _, test := range []struct {
		name  string
		learn func(*viewFixture)
		reset bool
	}{
		{"no read", func(f *viewFixture) { f.at(later) }, false},
		{"read that began after", func(f *viewFixture) { f.apply(seen+1, later, own, without) }, true},
		{"read that began before", func(f *viewFixture) { f.apply(seen-1, later, own, without) }, false},
		{"read that is older than the view", func(f *viewFixture) {
			f.apply(later, later, directory.Position{Revision: 10}, testItem("op/config", 5, testConfig))
		}, false},
		{"update of a peer", func(f *viewFixture) { f.ApplyUpdate(directory.Delta{From: own, To: own}, "n1", f.at(later)) }, true},
		{"update that may have been under way", func(f *viewFixture) {
			f.ApplyUpdate(directory.Delta{From: own, To: own}, "n1", f.at(seen+500*time.Millisecond))
		}, false},
		{"update that is older than the view", func(f *viewFixture) {
			before := directory.Position{Revision: 10}
			f.ApplyUpdate(directory.Delta{From: before, To: before}, "n1", f.at(later))
		}, false},
		{"snapshot", func(f *viewFixture) { f.ApplySnapshot(directory.Snapshot{At: own}, "n1", f.at(later)) }, true},
		{"new settings", func(f *viewFixture) {
			limits := f.limits
			limits.ColdSlack++
			f.at(later)
			f.SetLimits(limits)
		}, false},
		{"restored store", func(f *viewFixture) { f.apply(later, later, directory.Position{Era: 1, Revision: 11}, without) }, false},
		{"store that was restored before", func(f *viewFixture) {
			f.apply(later, later, directory.Position{Era: 1, Revision: 11}, without)
			f.apply(later+9*time.Second, later+9*time.Second, directory.Position{Era: 1, Revision: 12}, without)
		}, true},
		{"restored store with an older configuration", func(f *viewFixture) {
			config := testItem("op/config", 5, testConfig)
			f.apply(later, later, directory.Position{Era: 1, Revision: 10}, config)
			f.apply(later+9*time.Second, later+9*time.Second, directory.Position{Era: 1, Revision: 12}, config)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newViewFixture(t)
			f.apply(removed, removed, own, without)
			p := &carawaycart.Packet{
				Key: carawaycart.FlowKey{
					Caller: netip.MustParseAddrPort("100.64.0.2:40000"), Service: netip.MustParseAddrPort("198.18.0.1:8443"), Protocol: carawaycart.TCP,
				},
				Sequence: 1001, Acknowledged: 500, PayloadBytes: 200, Token: f.token,
			}
			if got := f.router.Decide(p, f.at(seen)); got.Verdict != carawaycart.VerdictForward {
				t.Fatalf("got verdict %d for %s of a flow that the instance did not know, want it forwarded", got.Verdict, got.Cause)
			}
			test.learn(f)
			got := f.router.Decide(p, f.clock.Now())
			if reset := got.Verdict == carawaycart.VerdictReset; reset != test.reset || got.Verdict != carawaycart.VerdictForward && got.Cause != carawaycart.CauseNoRoute {
				t.Errorf("got verdict %d for %s, want a reset: %t", got.Verdict, got.Cause, test.reset)
			}
		})
	}
}
