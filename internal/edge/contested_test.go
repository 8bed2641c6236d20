package edge_test

import (
	"sync"
	"testing"
	"time"

	"carawaycart/platform/standin"
)

// openContested opens flows whose first packets go to two endpoints, one of which answers late
// and again, to callers that send the token of the last answer. The function stop ends the flows.
func openContested(t *testing.T, zones int) (f *fleet, stop func()) {
	t.Helper()
	f = newFleet(t, zones, 3, 2)
	f.await(t, "all instances are listed", func() bool { return f.listed(t) == len(f.instances) })
	f.KeepLastEcho()
	f.Endpoints[0].SetAnswerDelay(120 * time.Millisecond)
	stop = f.feedsWithBudget(t, 40, 450*time.Millisecond)
	f.awaitRequests(t, 80)
	return f, stop
}

// checkNoFlowFailed reports violations, and open flows that were reset or left a request without
// an answer. New flows may be refused, as the endpoints that answer late seem to be overloaded.
func (f *fleet) checkNoFlowFailed(t *testing.T) {
	t.Helper()
	f.checkLedger(t)
	if l := f.Ledger; l.FlowsReset > 0 || l.FlowsFailed > 0 || l.Answered == 0 {
		t.Errorf("got %s, want no open flow reset or left without an answer", l.Summary())
	}
}

// Instances stop as planned one after the other, so that their flows move. Guards against
// sending the flows to the endpoint that has answered late, which resets them: no instance has
// seen them open but the one that has stopped, and later those that it has told have too.
func TestContestedFlowsOutlastPlannedStops(t *testing.T) {
	t.Parallel()
	f, stop := openContested(t, 2)
	for range 2 {
		for _, i := range f.instances {
			i.running.Stop()
			i.log.Close()
			i.running = nil
			f.start(t, i, "")
			f.await(t, "all instances are in rotation", func() bool { return f.Routers.ReadyCount() == len(f.instances) })
			time.Sleep(500 * time.Millisecond)
		}
	}
	stop()
	f.checkNoFlowFailed(t)
}

// Like TestContestedFlowsOutlastPlannedStops, but the instances are killed.
func TestContestedFlowsOutlastKills(t *testing.T) {
	t.Parallel()
	f, stop := openContested(t, 2)
	for _, i := range f.instances {
		f.Routers.SetExcluded(i.machine.InstanceID, true)
		f.kill(i)
		time.Sleep(time.Second)
		f.start(t, i, "")
		f.Routers.SetExcluded(i.machine.InstanceID, false)
		f.await(t, "all instances are in rotation", func() bool { return f.Routers.ReadyCount() == len(f.instances) })
	}
	stop()
	f.checkNoFlowFailed(t)
}

// A handshake comes to an instance that has not received the first packet, and the late answer
// after it; later packets come to a third one. Guards against a flow of which no instance knows
// where it is open.
func TestHandshakeThroughAnotherInstanceIsTold(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 3, 3)
	f.await(t, "all instances are listed", func() bool { return f.listed(t) == len(f.instances) })
	f.KeepLastEcho()
	f.Routers.SetHashMode(true)
	for n, e := range f.Endpoints {
		e.SetAnswerDelay(time.Duration(60+60*n) * time.Millisecond)
	}
	stop := f.feedsWithBudget(t, 30, 70*time.Millisecond)
	var orders sync.WaitGroup
	for n := range 30 {
		f.Routers.SetExcluded(f.instances[n%3].machine.InstanceID, true)
		time.Sleep(50 * time.Millisecond)
		f.Routers.SetExcluded(f.instances[n%3].machine.InstanceID, false)
		time.Sleep(50 * time.Millisecond)
		orders.Go(func() { f.Callers[0].SendKeyed(standin.KeyedAddress, 5*time.Millisecond, 4*time.Second) })
	}
	f.awaitRequests(t, 10)
	orders.Wait()
	stop()
	f.checkNoFlowFailed(t)
}
