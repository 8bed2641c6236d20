package limit

import (
	"sync"
	"time"

	"carawaycart"
)

const (
	// reportTimeout is the age of the last report at which an endpoint becomes
	// silent. Three reports are missing by then.
	reportTimeout = 3 * time.Second

	// propagationDelay is the time in which a status reaches all instances.
	propagationDelay = 1200 * time.Millisecond

	// permitGracePeriod is the time in which instances register the permits that
	// they hold with a new keeper.
	permitGracePeriod = time.Second

	// shedBackoff is the time for which an endpoint that has shed a request gets no
	// new requests and, in state open, no new flows.
	shedBackoff = time.Second

	// deadFailures is the number of refused connections without a report in
	// between after which an endpoint is dead.
	deadFailures = 2
)

// Gate limits the flows and requests admitted to one endpoint. It is safe for
// concurrent use.
type Gate struct {
	mu       sync.Mutex
	endpoint carawaycart.Endpoint
	profile  carawaycart.Profile

	state          carawaycart.EndpointState
	guarded        bool
	guardedUntil   time.Time // earliest time at which the guard may be removed
	spilloverStart time.Time // from when flows may be admitted to other endpoints

	lastReport       carawaycart.Report
	lastReportAt     time.Time // arrival of lastReport, or the takeover by this keeper
	failures         int       // refused connections since the last report
	flowsSinceReport int       // flows admitted since the last report
	flowsSinceCold   int       // flows admitted since the endpoint became cold
	warmupStart      time.Time
	warmupEnd        time.Time
	shedUntil        time.Time // end of the backoff after a shed request
	acquireFrom      time.Time // no permits are granted before
	permits          map[carawaycart.PermitID]permit
}

// permit is the use of one request slot by an instance, until a deadline.
type permit struct {
	holder   carawaycart.InstanceID
	deadline time.Time
}

// NewGate returns the gate of endpoint e, whose keeper this instance became at now.
// Inherited is the last status from the previous keeper; its version is zero if
// there was none. If it is not open, the whole cold allowance counts as used,
// because the new keeper does not know how much of it is left.
func NewGate(e carawaycart.Endpoint, p carawaycart.Profile, inherited carawaycart.EndpointStatus, now time.Time) *Gate {
	g := &Gate{
		endpoint:     e,
		profile:      p,
		state:        inherited.State,
		guarded:      inherited.Guarded,
		lastReportAt: now,
		permits:      make(map[carawaycart.PermitID]permit),
	}
	if inherited.Version > 0 {
		g.acquireFrom = now.Add(permitGracePeriod)
		if inherited.State != carawaycart.EndpointOpen {
			g.flowsSinceCold = p.ColdFlows
		}
	}
	if g.guarded {
		// The new keeper does not know yet which flows are owned by other endpoints.
		g.spilloverStart = now.Add(propagationDelay)
		g.guardedUntil = now.Add(2 * propagationDelay)
	}
	return g
}

// Configure replaces the endpoint and its profile.
func (g *Gate) Configure(e carawaycart.Endpoint, p carawaycart.Profile) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endpoint = e
	g.profile = p
}

// Observe records a load report that arrived at now and updates the state of the
// endpoint.
func (g *Gate) Observe(r carawaycart.Report, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasCold := g.cold()
	g.lastReport = r
	g.lastReportAt = now
	g.failures = 0
	g.flowsSinceReport = 0
	switch {
	case r.Cold:
		if g.state == carawaycart.EndpointOpen || g.state == carawaycart.EndpointFull {
			g.flowsSinceCold = 0
		}
		g.state = carawaycart.EndpointCold
		g.warmupEnd = time.Time{}
	case r.Shedding || r.Flows >= g.endpoint.Flows:
		g.state = carawaycart.EndpointFull
	default:
		if wasCold {
			g.warmupStart = now
			g.warmupEnd = now.Add(g.profile.WarmupSeconds.Duration())
		}
		g.state = carawaycart.EndpointOpen
	}
}

// cold reports whether the endpoint is cold or in state unknown, which is handled
// as cold.
func (g *Gate) cold() bool {
	return g.state == carawaycart.EndpointCold || g.state == carawaycart.EndpointUnknown
}

// Missed records that a request for a load report failed at now and updates the
// state of the endpoint. ConnectionRefused means that no process listens at the
// endpoint's address.
func (g *Gate) Missed(connectionRefused bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if connectionRefused {
		g.failures++
	}
	switch {
	case g.failures >= deadFailures:
		g.state = carawaycart.EndpointDead
	case now.Sub(g.lastReportAt) >= reportTimeout && g.state != carawaycart.EndpointDead:
		g.state = carawaycart.EndpointSilent
	}
}

// Guard updates at now whether the endpoint is guarded, which means that packets of
// its slots must pass through the keeper. Exceptions reports whether other
// endpoints own flows of those slots.
func (g *Gate) Guard(exceptions bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	needed := exceptions || g.state != carawaycart.EndpointOpen
	switch {
	case needed && !g.guarded:
		g.guarded = true
		g.spilloverStart = now.Add(propagationDelay)
		g.guardedUntil = now.Add(2 * propagationDelay)
	case needed:
		g.guardedUntil = now.Add(2 * propagationDelay)
	case g.guarded && !now.Before(g.guardedUntil):
		g.guarded = false
	}
}

// Status returns the state of the endpoint and whether it is guarded.
func (g *Gate) Status() (carawaycart.EndpointState, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state, g.guarded
}

// LastReport returns the last load report and the time of its arrival. Before the
// first one it returns the zero Report and the time at which the gate was created.
func (g *Gate) LastReport() (carawaycart.Report, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastReport, g.lastReportAt
}

// SpilloverStart returns the time from which flows may be admitted to other
// endpoints. It returns false if the endpoint is not guarded.
func (g *Gate) SpilloverStart() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.spilloverStart, g.guarded
}

// AdmitFlow reports whether the endpoint may receive a new flow at now, and counts
// the flow if so.
func (g *Gate) AdmitFlow(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.admits(now) {
		return false
	}
	g.flowsSinceReport++
	g.flowsSinceCold++
	return true
}

func (g *Gate) admits(now time.Time) bool {
	flows := g.lastReport.Flows + g.flowsSinceReport
	switch g.state {
	case carawaycart.EndpointUnknown, carawaycart.EndpointCold:
		return g.flowsSinceCold < g.profile.ColdFlows
	case carawaycart.EndpointOpen:
		return flows < g.endpoint.Flows && !now.Before(g.shedUntil) && g.flowsSinceCold < g.warmupFlowLimit(now)
	case carawaycart.EndpointSilent:
		return flows < g.endpoint.Flows
	}
	return false
}

// warmupFlowLimit returns the limit at now of flows admitted since the endpoint
// became cold. There is no limit after the warm-up.
func (g *Gate) warmupFlowLimit(now time.Time) int {
	if !now.Before(g.warmupEnd) {
		return int(^uint(0) >> 1)
	}
	span := g.warmupEnd.Sub(g.warmupStart)
	elapsed := now.Sub(g.warmupStart)
	return g.profile.ColdFlows + int(int64(g.endpoint.Flows)*int64(elapsed)/int64(span))
}

// Acquire grants permit id to holder until deadline if a request slot is free at
// now, and reports whether it did. It returns true for a permit that is already
// held, so a call may be repeated.
func (g *Gate) Acquire(id carawaycart.PermitID, holder carawaycart.InstanceID, deadline, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.permits[id]; ok {
		return true
	}
	g.expirePermits(now)
	if now.Before(g.acquireFrom) || now.Before(g.shedUntil) || len(g.permits) >= g.requestLimit() {
		return false
	}
	g.permits[id] = permit{holder: holder, deadline: deadline}
	return true
}

// Register records a permit that a previous keeper granted.
func (g *Gate) Register(id carawaycart.PermitID, holder carawaycart.InstanceID, deadline time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.permits[id] = permit{holder: holder, deadline: deadline}
}

func (g *Gate) requestLimit() int {
	switch g.state {
	case carawaycart.EndpointUnknown, carawaycart.EndpointCold:
		return min(g.profile.ColdRequests, g.endpoint.Slots)
	case carawaycart.EndpointDead:
		return 0
	}
	return g.endpoint.Slots
}

func (g *Gate) expirePermits(now time.Time) {
	for id, p := range g.permits {
		if !now.Before(p.deadline) {
			delete(g.permits, id)
		}
	}
}

// Release frees the request slot of permit id at now. Shed means that the endpoint
// refused the request because it was overloaded.
func (g *Gate) Release(id carawaycart.PermitID, shed bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.permits, id)
	if shed {
		g.shedUntil = now.Add(shedBackoff)
	}
}

// PermitCount returns the number of permits held, including expired ones that have
// not been deleted yet.
func (g *Gate) PermitCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.permits)
}
