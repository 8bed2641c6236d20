package edge_test

import (
	"strings"
	"testing"
	"time"

	"carawaycart/platform/standin"
)

// The rotation changes while a request runs, so that its answer is acknowledged through another
// instance, and probes get no answer, since the endpoint has a full queue of new connections.
// Guards against resetting the flow through the instance that has forwarded the request.
func TestFlowIsNotResetAfterRotationForRequestThatRuns(t *testing.T) {
	t.Parallel()
	const work, budget, pause = 2500 * time.Millisecond, 6 * time.Second, 50 * time.Millisecond
	f := newFleet(t, 1, 1, 2)
	former, endpoint := f.instances[0], f.Endpoints[0]
	f.rotate(0)
	free, err := endpoint.FillHealthQueue()
	if err != nil {
		t.Fatal(err)
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		f.Callers[0].Feed(standin.FeedAddress, work, budget, pause, stop)
	}()
	f.await(t, "the flow is open", func() bool { return endpoint.NewFlows() > 0 })
	time.Sleep(150 * time.Millisecond)
	f.rotate(1)
	f.awaitRequests(t, 1)
	close(stop)
	<-done
	if err := free(); err != nil {
		t.Fatal(err)
	}
	if l := f.Ledger; l.FlowsReset > 0 || l.Unknown > 0 {
		t.Errorf("got %s, want no reset and all requests answered", l.Summary())
	}
	if !strings.Contains(former.logLines.String(), "event=silent") {
		t.Error("got an endpoint that was not found silent, so that the test shows nothing")
	}
}
