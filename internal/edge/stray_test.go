package edge_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"carawaycart/platform/standin"
)

// feedsWithBudget starts the given number of flows, whose callers send a request after each
// pause and wait longer for the answer than a flow may stray. It stops them when the test
// ends, or when stop is called.
func (f *fleet) feedsWithBudget(t *testing.T, feeds int, pause time.Duration) (stop func()) {
	t.Helper()
	const work, budget = 5 * time.Millisecond, 4 * time.Second
	done := make(chan struct{})
	var running sync.WaitGroup
	for range feeds {
		running.Go(func() { f.Callers[0].Feed(standin.FeedAddress, work, budget, pause, done) })
	}
	stop = sync.OnceFunc(func() {
		close(done)
		running.Wait()
	})
	t.Cleanup(stop)
	return stop
}

// checkNoStrays reports violations, resets of open flows and requests that were not answered.
func (f *fleet) checkNoStrays(t *testing.T) {
	t.Helper()
	f.checkLedger(t)
	if l := f.Ledger; l.Unknown > 0 || l.FlowsReset > 0 {
		t.Errorf("got %s, want all requests answered and no open flow reset", l.Summary())
	}
}

// An endpoint answers first packets late, so that another opens the flows, and callers then
// send the token of the last answer. Guards against sending the packets of these flows to
// the late endpoint.
func TestLateAnswerDoesNotMoveOpenFlow(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 2, 1)
	f.KeepLastEcho()
	f.Endpoints[0].SetAnswerDelay(180 * time.Millisecond)
	stop := f.feedsWithBudget(t, 8, 300*time.Millisecond)
	f.awaitRequests(t, 150)
	stop()
	f.checkNoStrays(t)
	log := f.instances[0].logLines.String()
	if !strings.Contains(log, "hedge=1") {
		t.Error("got no first packet that was sent to a second endpoint, so that the test shows nothing")
	}
	if !strings.Contains(log, "event=otherToken") {
		t.Error("got no log line for a packet with the token of the late endpoint")
	}
}

// Endpoints answer first packets late, and an instance joins and leaves, so that copies of
// first packets and their acknowledgements reach other instances. Callers keep to the first
// answer. Guards against sending the packets of a flow to an endpoint at which it is not open.
func TestFlowsOpenedDuringRehashDoNotStray(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 3, 3)
	f.openDuringRehash(t)
	f.checkNoStrays(t)
}

// openDuringRehash opens flows for some seconds while an instance joins and leaves.
func (f *fleet) openDuringRehash(t *testing.T) {
	t.Helper()
	f.Routers.SetHashMode(true)
	for n, e := range f.Endpoints {
		e.SetAnswerDelay(time.Duration(100+n*100) * time.Millisecond)
	}
	var opening sync.WaitGroup
	stop := make(chan struct{})
	for range 8 {
		opening.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					f.Callers[0].SendKeyed(standin.KeyedAddress, 5*time.Millisecond, 4*time.Second)
				}
			}
		})
	}
	stopFeeds := f.feedsWithBudget(t, 8, 100*time.Millisecond)
	for n := range 40 {
		f.Routers.SetExcluded(f.instances[2].machine.InstanceID, n%2 == 0)
		time.Sleep(130 * time.Millisecond)
	}
	close(stop)
	opening.Wait()
	stopFeeds()
}

// Like TestFlowsOpenedDuringRehashDoNotStray, but callers send the token of the last answer.
func TestLateAnswersDuringRehash(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 3, 3)
	f.KeepLastEcho()
	f.openDuringRehash(t)
	f.checkNoStrays(t)
}
