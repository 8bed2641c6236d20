package edge_test

import (
	"testing"
	"time"
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
