package edge_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/io/operator"
	platformstore "carawaycart/platform"
	"carawaycart/platform/standin"
)

// Bounds and times of the tests of a store that is restored from a copy.
const (
	applyTimeLimit = 3 * time.Second // config_apply_ms in RULES.md
	drillGap       = 5 * time.Second // time until the operators write again
	readPause      = 1500 * time.Millisecond
	lostWrites     = 60 // revisions that a restore goes back
)

// advance writes n times to the store what does not concern the instances.
func (f *fleet) advance(n int) {
	for range n {
		f.Store.Put("other/key", nil)
	}
}

// restoreAfterLostWrites waits until all instances have read revisions that c does not
// have, restores c, and lets the revisions pass those that the instances have read. The
// operators write again after operatorDelay.
func (f *fleet) restoreAfterLostWrites(c standin.StoreCopy, operatorDelay time.Duration) {
	f.advance(lostWrites)
	time.Sleep(readPause)
	f.Restore(c, operatorDelay)
	f.advance(2 * lostWrites)
}

// routesKeyed reports whether i has the route for keyed requests.
func routesKeyed(t *testing.T, i *instance) bool {
	t.Helper()
	key, err := operator.ParseFlow("tcp", "100.64.0.1:1024", standin.KeyedAddress.String())
	if err != nil {
		t.Fatal(err)
	}
	_, err = i.running.ExplainFlow(key)
	return err == nil
}

// configureKeyed writes a configuration with the route for keyed requests, or without it,
// and waits until it is in force.
func (f *fleet) configureKeyed(t *testing.T, keyed bool) {
	t.Helper()
	if err := f.Configure(keyed); err != nil {
		t.Fatal(err)
	}
	f.within(t, applyTimeLimit, "the configuration is in force", func() bool {
		return !slices.ContainsFunc(f.instances, func(i *instance) bool { return routesKeyed(t, i) != keyed })
	})
}

// within waits until condition holds and reports an error after limit.
func (f *fleet) within(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Errorf("not within %v: %s", limit, what)
			return
		}
	}
}

// checkRoutes reports an error for each instance that ever has the route for keyed
// requests within span if keyed is false, or ever lacks it if keyed is true.
func (f *fleet) checkRoutes(t *testing.T, keyed bool, span time.Duration) {
	t.Helper()
	failed := make(map[*instance]bool)
	for began := time.Now(); time.Since(began) < span; time.Sleep(10 * time.Millisecond) {
		for _, i := range f.instances {
			if !failed[i] && routesKeyed(t, i) != keyed {
				failed[i] = true
				t.Errorf("%s: got the route %t after %v, want %t throughout", i.machine.InstanceID, !keyed, time.Since(began), keyed)
			}
		}
	}
}

// sendKeyed sends n keyed requests in each zone and reports an error for those that were
// not served.
func (f *fleet) sendKeyed(t *testing.T, n int) {
	t.Helper()
	var pending sync.WaitGroup
	for _, c := range f.Callers {
		pending.Go(func() {
			for range n {
				c.SendKeyed(standin.KeyedAddress, 5*time.Millisecond, 1200*time.Millisecond)
			}
		})
	}
	pending.Wait()
	if l := f.Ledger; l.NotRun > 0 || l.Unknown > 0 {
		t.Errorf("got %s, want all keyed requests answered", l.Summary())
	}
}

// newFlows returns the number of new flows at the endpoints of zone.
func (f *fleet) newFlows(zone string) int {
	n := 0
	for _, e := range f.Endpoints {
		if e.Zone == zone {
			n += e.NewFlows()
		}
	}
	return n
}

// Guards against a confirmed route that is refused, or a dropped one that is served,
// because its revision is below those read before the restore.
func TestRouteChangedAfterRestoreIsInForce(t *testing.T) {
	for name, added := range map[string]bool{"added": true, "dropped": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, 2, 2)
			f.configureKeyed(t, !added)
			c := f.Store.Copy()
			f.advance(lostWrites)
			time.Sleep(readPause)
			f.Restore(c, 0)
			time.Sleep(readPause)
			f.configureKeyed(t, added)
			if added {
				f.sendKeyed(t, 20)
			}
			f.checkLedger(t)
		})
	}
}

// Guards against an instance that follows only the first restore, because the second
// brings the revisions of the first again.
func TestRouteAddedAfterSecondRestoreIsInForce(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 2)
	f.configureKeyed(t, false)
	c := f.Store.Copy()
	for range 2 {
		f.advance(lostWrites)
		time.Sleep(readPause)
		f.Restore(c, 0)
	}
	time.Sleep(readPause)
	f.configureKeyed(t, true)
	f.sendKeyed(t, 20)
	f.checkLedger(t)
}

// Guards against a confirmed configuration that goes back to the one of the copy until
// the operators write again.
func TestConfigurationDoesNotGoBackAfterRestore(t *testing.T) {
	for name, added := range map[string]bool{"added": true, "dropped": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, 2, 2)
			f.configureKeyed(t, !added)
			c := f.Store.Copy()
			f.configureKeyed(t, added)
			f.restoreAfterLostWrites(c, drillGap)
			f.checkRoutes(t, added, drillGap+applyTimeLimit)
			if added {
				f.sendKeyed(t, 20)
			}
			f.checkLedger(t)
		})
	}
}

// Guards against resets of open flows to endpoints whose entries were written since the
// copy, until they are written again.
func TestFlowsOutliveEntriesLostInRestore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 0, 2)
	c := f.Store.Copy()
	for range 2 {
		if _, err := f.AddEndpoint("a", 0); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(readPause)
	f.BeginLoad(6, 10)
	f.awaitRequests(t, 60)
	f.restoreAfterLostWrites(c, 0)
	time.Sleep(drillGap)
	f.checkLedger(t)
	if f.Ledger.FlowsReset > 0 {
		t.Errorf("got %s, want no open flow reset", f.Ledger.Summary())
	}
}

// Guards against resets of open flows to endpoints that have restarted under their IDs
// since the copy, which lists the earlier lifetimes again.
func TestFlowsOutliveRestartsLostInRestore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 2, 2)
	c := f.Store.Copy()
	for _, e := range f.Endpoints {
		e.Restart(0)
	}
	time.Sleep(readPause)
	f.BeginLoad(6, 10)
	f.await(t, "the restarts no longer excuse resets", func() bool {
		return f.Endpoints[0].HealthyFor(4*time.Second) && f.Endpoints[1].HealthyFor(4*time.Second)
	})
	before := f.Ledger.FlowsReset
	f.restoreAfterLostWrites(c, 0)
	time.Sleep(drillGap)
	f.checkLedger(t)
	if f.Ledger.FlowsReset > before {
		t.Errorf("got %s, want no open flow reset after the restore", f.Ledger.Summary())
	}
}

// Guards against new flows at an endpoint that reported before the restore that it
// drains, while the copy says that it is ready.
func TestDrainingEndpointGetsNoFlowsAfterRestore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 2)
	f.BeginLoad(2, 40)
	f.awaitRequests(t, 60)
	c := f.Store.Copy()
	draining := f.Endpoints[0]
	f.Drain(draining)
	f.await(t, "new flows are forbidden", draining.NewFlowsForbidden)
	f.awaitRequests(t, 60)
	before := draining.NewFlows()
	f.restoreAfterLostWrites(c, 0)
	time.Sleep(drillGap)
	if got := draining.NewFlows() - before; got > 0 {
		t.Errorf("got %d new flows at the draining endpoint, want none", got)
	}
	f.checkLedger(t)
}

// Guards against new flows at an endpoint whose report that it drains has a revision below
// those read before the restore.
func TestDrainAfterRestoreIsFollowed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 2)
	f.BeginLoad(2, 40)
	f.awaitRequests(t, 60)
	c := f.Store.Copy()
	f.advance(lostWrites)
	time.Sleep(readPause)
	f.Restore(c, 0)
	f.awaitRequests(t, 60)
	f.Drain(f.Endpoints[0])
	f.await(t, "new flows are forbidden", f.Endpoints[0].NewFlowsForbidden)
	f.awaitRequests(t, 100)
	f.checkLedger(t)
}

// Guards against new flows in a zone that was taken out before the restore, until the
// operators write again, and against a zone that stays out when it is taken back.
func TestZoneStaysOutAfterRestore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 2)
	f.BeginLoad(2, 40)
	f.awaitRequests(t, 60)
	c := f.Store.Copy()
	f.SetZoneInService("b", false)
	f.await(t, "new flows are forbidden", f.Endpoints[2].NewFlowsForbidden)
	f.awaitRequests(t, 60)
	before := f.newFlows("b")
	f.restoreAfterLostWrites(c, drillGap)
	time.Sleep(drillGap + readPause)
	if got := f.newFlows("b") - before; got > 0 {
		t.Errorf("got %d new flows in the zone that is out, want none", got)
	}
	f.SetZoneInService("b", true)
	f.within(t, standin.EvacuationTimeLimit, "the zone gets flows again", func() bool { return f.newFlows("b") > before })
	f.checkLedger(t)
}

// Guards against an instance that starts before the operators write again and serves the
// configuration of the copy, although its peers have a newer one.
func TestStartAfterRestoreServesNewestConfiguration(t *testing.T) {
	for _, test := range []struct {
		name   string
		seeded bool
		limit  time.Duration // time after the first readiness
	}{{"with seeds", true, 0}, {"without seeds", false, applyTimeLimit}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, 2, 2)
			f.configureKeyed(t, false)
			f.await(t, "all instances are listed", func() bool { return f.listed(t) == len(f.instances) })
			c := f.Store.Copy()
			f.configureKeyed(t, true)
			started := f.instances[0]
			f.kill(started)
			f.restoreAfterLostWrites(c, 2*drillGap)
			end := time.Now().Add(2 * drillGap)
			time.Sleep(readPause)
			seeds := ""
			if test.seeded {
				seeds = "[peers]\nseeds = " + f.instances[1].machine.IP + ":1\n"
			}
			f.start(t, started, seeds)
			f.await(t, "the instance is ready", started.running.Ready)
			time.Sleep(test.limit)
			f.checkRoutes(t, true, time.Until(end)+readPause)
			f.checkLedger(t)
		})
	}
}

// listed returns the number of instances that the store lists.
func (f *fleet) listed(t *testing.T) int {
	t.Helper()
	store := platformstore.NewStore(f.Store.URL(), nil)
	defer store.Close()
	read, err := store.ReadAll(context.Background(), "carawaycart/instances/")
	if err != nil {
		t.Fatal(err)
	}
	ids := make(map[carawaycart.InstanceID]bool)
	for _, i := range read.Items {
		decoded, err := platformstore.DecodeItem(i)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range decoded.Instances {
			ids[r.ID] = true
		}
	}
	return len(ids)
}

// Guards against instances that no starting instance finds, because they take the
// registrations that the restore has removed for listed.
func TestInstancesAreListedAgainAfterRestore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 0)
	c := f.Store.Copy()
	f.addInstances(t, 2)
	f.await(t, "all instances are listed", func() bool { return f.listed(t) == len(f.instances) })
	f.advance(lostWrites)
	time.Sleep(readPause)
	f.Restore(c, 0)
	// A registration is retried every 3 s.
	f.within(t, 10*time.Second, "all instances are listed again", func() bool { return f.listed(t) == len(f.instances) })
	f.checkLedger(t)
}
