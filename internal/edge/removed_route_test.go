package edge_test

import (
	"context"
	"sync"
	"testing"
	"time"

	platformstore "carawaycart/platform"
	"carawaycart/platform/standin"
)

// isolate cuts i off from the store and from the updates of its peers, by removing its
// registration.
func (f *fleet) isolate(t *testing.T, i *instance) {
	t.Helper()
	f.Store.SetFault(i.machine.StoreURL, standin.FaultUnavailable)
	store := platformstore.NewStore(f.Store.URL(), nil)
	defer store.Close()
	read, err := store.ReadAll(context.Background(), "carawaycart/instances/")
	if err != nil {
		t.Fatal(err)
	}
	for _, item := range read.Items {
		f.Store.Delete(item.Key)
	}
	f.await(t, "the others are listed again", func() bool { return f.listed(t) == len(f.instances)-1 })
	time.Sleep(readPause)
}

// A route is removed and added again, and an instance knows only of the removal. Guards
// against resetting the flows that others have opened on the route since.
func TestFlowOfRouteAddedAgainIsNotReset(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 2, 2)
	f.await(t, "all instances are listed", func() bool { return f.listed(t) == len(f.instances) })
	f.configureKeyed(t, false)
	behind, current := f.instances[0], f.instances[1]
	f.isolate(t, behind)
	if err := f.Configure(true); err != nil {
		t.Fatal(err)
	}
	f.await(t, "the route is in force", func() bool { return routesKeyed(t, current) })
	const work, budget, pause = 5 * time.Millisecond, 6 * time.Second, 100 * time.Millisecond
	stop := make(chan struct{})
	var feeds sync.WaitGroup
	for range 4 {
		feeds.Go(func() { f.Callers[0].Feed(standin.KeyedAddress, work, budget, pause, stop) })
	}
	f.awaitRequests(t, 40)
	f.kill(current) // the routers send the packets of all flows to the other instance
	f.awaitRequests(t, 20)
	if routesKeyed(t, behind) {
		t.Error("got the route known to the isolated instance, so that the test shows nothing")
	}
	close(stop)
	feeds.Wait()
	if l := f.Ledger; l.FlowsReset > 0 || l.Answered < 55 {
		t.Errorf("got %s, want no reset of an open flow and their requests answered", l.Summary())
	}
}
