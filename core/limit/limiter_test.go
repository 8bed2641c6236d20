package limit_test

import (
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/limit"
)

var (
	start    = time.Unix(1000, 0)
	endpoint = carawaycart.Endpoint{ID: "e1", MaxFlows: 100, RequestSlots: 2}
	profile  = carawaycart.Profile{ColdFlows: 5, ColdRequests: 1, WarmupSeconds: 10}
)

// admitFlows asks l to admit the given number of flows at now and returns how many
// it admitted.
func admitFlows(l *limit.Limiter, attempts int, now time.Time) int {
	n := 0
	for range attempts {
		if l.AdmitFlow(now) {
			n++
		}
	}
	return n
}

// Guards against more flows than an endpoint can take in each of its states.
func TestAdmitFlow(t *testing.T) {
	warm := func(l *limit.Limiter) {
		l.RecordReport(carawaycart.LoadReport{}, start)
	}
	for _, test := range []struct {
		name    string
		prepare func(*limit.Limiter)
		now     time.Duration
		want    int
	}{
		{"unknown, which counts as cold", func(*limit.Limiter) {}, 0, 5},
		{"cold", func(l *limit.Limiter) { l.RecordReport(carawaycart.LoadReport{Cold: true}, start) }, 0, 5},
		{"at the start of the warm-up", warm, 0, 5},
		{"halfway through the warm-up", warm, 5 * time.Second, 55},
		{"warm", warm, 10 * time.Second, 100},
		{"nearly full", func(l *limit.Limiter) { l.RecordReport(carawaycart.LoadReport{Flows: 97}, start) }, 10 * time.Second, 3},
		{"shedding", func(l *limit.Limiter) { l.RecordReport(carawaycart.LoadReport{Shedding: true}, start) }, 0, 0},
		{"cold again", func(l *limit.Limiter) {
			warm(l)
			admitFlows(l, 3, start)
			l.RecordReport(carawaycart.LoadReport{Cold: true}, start)
		}, 0, 5},
		{"dead", func(l *limit.Limiter) {
			l.RecordFailure(true, start)
			l.RecordFailure(true, start)
		}, 0, 0},
	} {
		l := limit.NewLimiter(endpoint, profile, carawaycart.EndpointStatus{}, start)
		test.prepare(l)
		if got := admitFlows(l, 200, start.Add(test.now)); got != test.want {
			t.Errorf("%s: got %d flows admitted, want %d", test.name, got, test.want)
		}
	}
}

func TestEndpointIsSilentAfterReportTimeout(t *testing.T) {
	l := limit.NewLimiter(endpoint, profile, carawaycart.EndpointStatus{}, start)
	l.RecordReport(carawaycart.LoadReport{}, start)
	l.RecordFailure(false, start.Add(time.Second))
	if s, _ := l.Status(); s != carawaycart.EndpointOpen {
		t.Errorf("one missing report: got %s, want open", s)
	}
	l.RecordFailure(false, start.Add(3*time.Second))
	if s, _ := l.Status(); s != carawaycart.EndpointSilent {
		t.Errorf("3 s without a report: got %s, want silent", s)
	}
}

// Guards against overloading a cold endpoint after a change of its keeper: the new
// keeper does not know how much of the cold allowance is used.
func TestNewKeeperOfColdEndpointAdmitsNoFlow(t *testing.T) {
	inherited := carawaycart.EndpointStatus{Version: 3, State: carawaycart.EndpointCold}
	l := limit.NewLimiter(endpoint, profile, inherited, start)
	if n := admitFlows(l, 10, start); n != 0 {
		t.Errorf("got %d flows admitted, want 0", n)
	}
}

// Guards against forwarding flows to the wrong endpoint after a change of keeper:
// other endpoints may own flows of a slot that is clean by its table, and only the
// guard directs their packets to the keeper.
func TestInheritedGuardIsKeptAfterTakeover(t *testing.T) {
	inherited := carawaycart.EndpointStatus{Version: 3, State: carawaycart.EndpointOpen, Guarded: true}
	l := limit.NewLimiter(endpoint, profile, inherited, start)
	l.UpdateGuard(false, start)
	if _, guarded := l.Status(); !guarded {
		t.Fatal("the guard was removed at the takeover")
	}
	l.UpdateGuard(true, start.Add(time.Second))
	l.UpdateGuard(false, start.Add(2*time.Second))
	if _, guarded := l.Status(); !guarded {
		t.Error("the guard was removed while other endpoints may still own flows")
	}
	l.UpdateGuard(false, start.Add(5*time.Second))
	if _, guarded := l.Status(); guarded {
		t.Error("the guard was kept after its minimum duration although no other endpoint owns flows")
	}
}

// Guards against flows admitted to another endpoint while some instances still
// forward packets of the slot directly, bypassing the keeper.
func TestSpilloverStartsAfterGuardIsPropagated(t *testing.T) {
	l := limit.NewLimiter(endpoint, profile, carawaycart.EndpointStatus{}, start)
	if _, ok := l.SpilloverStart(); ok {
		t.Error("got a spillover start for an endpoint that is not guarded")
	}
	l.UpdateGuard(false, start) // an unknown endpoint is guarded
	from, ok := l.SpilloverStart()
	if !ok || !from.After(start.Add(time.Second)) {
		t.Errorf("got spillover start %v, %t; want more than 1 s after the guard", from, ok)
	}
}

func TestAcquirePermit(t *testing.T) {
	l := limit.NewLimiter(endpoint, profile, carawaycart.EndpointStatus{}, start)
	l.RecordReport(carawaycart.LoadReport{}, start)
	deadline := start.Add(time.Second)
	for _, test := range []struct {
		name string
		id   carawaycart.PermitID
		now  time.Duration
		want bool
	}{
		{"first request slot", "p1", 0, true},
		{"second request slot", "p2", 0, true},
		{"third permit for two request slots", "p3", 0, false},
		{"retry of a granted permit", "p1", 0, true},
		{"after the deadline of the other permits", "p4", time.Second, true},
	} {
		if got := l.AcquirePermit(test.id, "i1", deadline, start.Add(test.now)); got != test.want {
			t.Errorf("%s: got %t, want %t", test.name, got, test.want)
		}
	}
	l.ReleasePermit("p4", true, start.Add(time.Second))
	if l.AcquirePermit("p5", "i1", deadline.Add(time.Hour), start.Add(1100*time.Millisecond)) {
		t.Error("granted a permit 100 ms after the endpoint shed a request")
	}
}

// Guards against more requests than request slots after a change of keeper: the new
// keeper does not know yet which permits the previous one granted.
func TestNewKeeperWaitsForPermitRegistration(t *testing.T) {
	inherited := carawaycart.EndpointStatus{Version: 1, State: carawaycart.EndpointOpen}
	l := limit.NewLimiter(endpoint, profile, inherited, start)
	deadline := start.Add(time.Minute)
	if l.AcquirePermit("p1", "i1", deadline, start) {
		t.Error("granted a permit before holders could register theirs")
	}
	l.RegisterPermit("old1", "i2", deadline)
	l.RegisterPermit("old2", "i3", deadline)
	if l.AcquirePermit("p1", "i1", deadline, start.Add(2*time.Second)) {
		t.Error("granted a third permit for two request slots")
	}
}

func TestBudget(t *testing.T) {
	b := limit.NewBudget(0.1)
	for b.TryRetry() {
	}
	for range 25 {
		b.RecordRequest()
	}
	n := 0
	for b.TryRetry() {
		n++
	}
	if n != 2 {
		t.Errorf("got %d retries for 25 first attempts at 10%%, want 2", n)
	}
}
