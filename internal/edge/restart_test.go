package edge_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"carawaycart/platform"
	"carawaycart/platform/standin"
)

// Endpoints start again under their IDs, one after the other, under load. Guards against
// resets by an instance of flows that the new lifetime has taken: an endpoint resets the
// flows that it has lost itself.
func TestInstancesResetNoFlowOfRestartedEndpoint(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 2)
	f.BeginLoad(8, 30)
	f.awaitRequests(t, 100)
	for _, e := range f.Endpoints {
		e.Restart(0)
		time.Sleep(900 * time.Millisecond)
	}
	f.awaitRequests(t, 50)
	f.checkLedger(t)
	if n := f.Ledger.FlowsReset; n > 0 {
		t.Errorf("got %d open flows reset by instances, want none", n)
	}
}

// The endpoints of a zone that is out become cold, and all instances start again as it
// returns, before the entries tell. Guards against taking the endpoints for warm, and against
// a record of the zone that stays in the store.
func TestInstancesThatStartAsZoneReturnsHoldItsEndpointsCold(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 2)
	f.BeginLoad(1, 60)
	f.awaitRequests(t, 100)
	f.SetZoneInService("b", false)
	key := platform.ZoneRecordKey("b")
	f.await(t, "the zone is recorded as out", func() bool { return f.Store.Has(key) })
	f.awaitRequests(t, 100)
	for _, i := range f.instances {
		f.kill(i)
	}
	f.RecordDisturbance()
	for _, e := range f.Endpoints {
		if e.Zone == "b" {
			e.TurnCold(2*time.Second, 1200*time.Millisecond)
		}
	}
	f.SetZoneInService("b", true)
	for _, i := range f.instances {
		f.start(t, i, "")
	}
	f.awaitRequests(t, 300)
	f.await(t, "the record is removed", func() bool { return !f.Store.Has(key) })
	f.checkLedger(t)
}

// Endpoints start again under their IDs, cold, at any time between two reads of the store.
// Guards against new flows at their usual rate until the next read.
func TestRestartedEndpointsAreNotOverrun(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 2)
	f.BeginLoad(1, 80)
	f.awaitRequests(t, 200)
	for n := range 8 {
		f.Endpoints[n%4].Restart(2 * time.Second)
		time.Sleep(time.Second + time.Duration(n)*170*time.Millisecond)
	}
	f.checkLedger(t)
}

// awaitReader waits until an instance reads the store and returns it.
func (f *fleet) awaitReader(t *testing.T) *instance {
	t.Helper()
	reads := func(i *instance) int { return strings.Count(i.logLines.String(), "event=read ") }
	before := make(map[*instance]int)
	for _, i := range f.instances {
		before[i] = reads(i)
	}
	var reader *instance
	f.await(t, "an instance reads the store", func() bool {
		for _, i := range f.instances {
			if reads(i) > before[i] {
				reader = i
			}
		}
		return reader != nil
	})
	return reader
}

// Endpoints start again, cold, just after the instance that reads for the fleet was killed.
// Guards against a fleet that depends on one instance to learn of restarts.
func TestRestartedEndpointsAreNotOverrunWithoutReader(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 2)
	f.await(t, "all instances are listed", func() bool { return f.listed(t) == len(f.instances) })
	f.BeginLoad(1, 80)
	f.awaitRequests(t, 200)
	for n := range 6 {
		reader := f.awaitReader(t)
		f.kill(reader)
		f.RecordDisturbance()
		f.Endpoints[n%4].Restart(2 * time.Second)
		time.Sleep(1500 * time.Millisecond)
		f.start(t, reader, "")
		time.Sleep(1500 * time.Millisecond)
	}
	f.checkLedger(t)
}

// The store has lost the entry of an endpoint that serves its flows, and its queue of new
// connections is full, so that probes get no answer. One of its flows is closed, and another
// is used after a pause. Guards against resetting the latter because two probes have failed.
func TestFlowOfMissingEndpointWithFullQueueGoesOn(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1, 1)
	const work, budget, pause = 5 * time.Millisecond, time.Second, 3300 * time.Millisecond
	closing, using := make(chan struct{}), make(chan struct{})
	var feeds sync.WaitGroup
	feeds.Go(func() { f.Callers[0].Feed(standin.FeedAddress, work, budget, pause, closing) })
	feeds.Go(func() { f.Callers[0].Feed(standin.FeedAddress, work, budget, pause, using) })
	f.awaitRequests(t, 2)
	f.Store.Delete("servers/" + f.Endpoints[0].ID)
	free, err := f.Endpoints[0].FillHealthQueue()
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(1900 * time.Millisecond)
	close(closing)
	f.awaitRequests(t, 1)
	close(using)
	feeds.Wait()
	if err := free(); err != nil {
		t.Fatal(err)
	}
	if l := f.Ledger; l.FlowsReset > 0 || l.Unknown > 0 {
		t.Errorf("got %s, want no reset and all requests answered", l.Summary())
	}
	if !strings.Contains(f.instances[0].logLines.String(), "event=silent") {
		t.Error("got an endpoint that was not found silent, so that the test shows nothing")
	}
}
