package limit

import (
	"sync"
	"time"

	"carawaycart"
)

const (
	silencePeriod = 3 * time.Second         // three reports are missing
	spreadPeriod  = 1200 * time.Millisecond // until all instances know the status
	takeoverGrace = time.Second             // until holders have registered their permits again
	shedPeriod    = time.Second             // an endpoint that shed work gets none so long
	deadAfter     = 2                       // consecutive failed reports
)

// Gate admits work to one endpoint; it is safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	endpoint carawaycart.Endpoint
	profile  carawaycart.Profile

	state        carawaycart.EndpointState
	guarded      bool
	guardedUntil time.Time // earliest end of the guard
	spillFrom    time.Time // flows may be opened elsewhere from here on

	report     carawaycart.Report
	heard      time.Time // last report
	failures   int       // consecutive failed reports
	opened     int       // flows admitted since the last report
	coldOpened int       // flows admitted since the endpoint was known cold
	warmFrom   time.Time // start of the warm-up
	warmUntil  time.Time // end of the warm-up
	shedUntil  time.Time
	grantFrom  time.Time
	permits    map[carawaycart.PermitID]permit
}

type permit struct {
	holder   carawaycart.InstanceID
	deadline time.Time
}

// NewGate returns the gate of an endpoint whose keeper this instance became at
// now. Inherited is what the previous keeper said last; if it said that the
// endpoint was cold, the whole cold allowance counts as used.
func NewGate(e carawaycart.Endpoint, p carawaycart.Profile, inherited carawaycart.EndpointStatus, now time.Time) *Gate {
	g := &Gate{
		endpoint: e,
		profile:  p,
		state:    inherited.State,
		guarded:  inherited.Guarded,
		heard:    now,
		permits:  make(map[carawaycart.PermitID]permit),
	}
	if inherited.Version > 0 {
		g.grantFrom = now.Add(takeoverGrace)
		if inherited.State != carawaycart.EndpointOpen {
			g.coldOpened = p.ColdFlows
		}
	}
	if g.guarded {
		// The new keeper has yet to look for flows that live elsewhere.
		g.spillFrom = now.Add(spreadPeriod)
		g.guardedUntil = now.Add(2 * spreadPeriod)
	}
	return g
}

// Configure takes in a changed endpoint or profile.
func (g *Gate) Configure(e carawaycart.Endpoint, p carawaycart.Profile) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endpoint = e
	g.profile = p
}

// Observe takes in a report that arrived at now.
func (g *Gate) Observe(r carawaycart.Report, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasCold := g.cold()
	g.report = r
	g.heard = now
	g.failures = 0
	g.opened = 0
	switch {
	case r.Cold:
		if g.state == carawaycart.EndpointOpen || g.state == carawaycart.EndpointFull {
			g.coldOpened = 0
		}
		g.state = carawaycart.EndpointCold
		g.warmUntil = time.Time{}
	case r.Shedding || r.Flows >= g.endpoint.Flows:
		g.state = carawaycart.EndpointFull
	default:
		if wasCold {
			g.warmFrom = now
			g.warmUntil = now.Add(g.profile.WarmupSeconds.Duration())
		}
		g.state = carawaycart.EndpointOpen
	}
}

func (g *Gate) cold() bool {
	return g.state == carawaycart.EndpointCold || g.state == carawaycart.EndpointUnknown
}

// Missed notes that no report could be had at now; refused tells that the
// endpoint's host answered that nothing listens.
func (g *Gate) Missed(refused bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if refused {
		g.failures++
	}
	switch {
	case g.failures >= deadAfter:
		g.state = carawaycart.EndpointDead
	case now.Sub(g.heard) >= silencePeriod && g.state != carawaycart.EndpointDead:
		g.state = carawaycart.EndpointSilent
	}
}

// Guard decides at now whether the packets of the endpoint's slots must pass
// through the keeper; exceptions tells that flows of those slots live elsewhere.
func (g *Gate) Guard(exceptions bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	need := exceptions || g.state != carawaycart.EndpointOpen
	switch {
	case need && !g.guarded:
		g.guarded = true
		g.spillFrom = now.Add(spreadPeriod)
		g.guardedUntil = now.Add(2 * spreadPeriod)
	case need:
		g.guardedUntil = now.Add(2 * spreadPeriod)
	case g.guarded && !now.Before(g.guardedUntil):
		g.guarded = false
	}
}

// Status returns the state and guard of the endpoint.
func (g *Gate) Status() (carawaycart.EndpointState, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state, g.guarded
}

// LastReport returns the latest report and when it arrived.
func (g *Gate) LastReport() (carawaycart.Report, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.report, g.heard
}

// SpillFrom returns when flows may be opened elsewhere, or false while the
// endpoint is not guarded.
func (g *Gate) SpillFrom() (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.spillFrom, g.guarded
}

// AdmitFlow reports whether the endpoint may get a new flow at now, and counts
// it if so.
func (g *Gate) AdmitFlow(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.admits(now) {
		return false
	}
	g.opened++
	g.coldOpened++
	return true
}

func (g *Gate) admits(now time.Time) bool {
	flows := g.report.Flows + g.opened
	switch g.state {
	case carawaycart.EndpointUnknown, carawaycart.EndpointCold:
		return g.coldOpened < g.profile.ColdFlows
	case carawaycart.EndpointOpen:
		return flows < g.endpoint.Flows && !now.Before(g.shedUntil) && g.coldOpened < g.allowance(now)
	case carawaycart.EndpointSilent:
		return flows < g.endpoint.Flows
	}
	return false
}

// allowance returns how many flows may have been opened since the endpoint was
// known cold; it has no bound after the warm-up.
func (g *Gate) allowance(now time.Time) int {
	if !now.Before(g.warmUntil) {
		return int(^uint(0) >> 1)
	}
	span := g.warmUntil.Sub(g.warmFrom)
	passed := now.Sub(g.warmFrom)
	return g.profile.ColdFlows + int(int64(g.endpoint.Flows)*int64(passed)/int64(span))
}

// Acquire grants holder a request slot until deadline if one is free at now. A
// repeated call for the same permit is granted again.
func (g *Gate) Acquire(id carawaycart.PermitID, holder carawaycart.InstanceID, deadline, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.permits[id]; ok {
		return true
	}
	g.expire(now)
	if now.Before(g.grantFrom) || now.Before(g.shedUntil) || len(g.permits) >= g.slots() {
		return false
	}
	g.permits[id] = permit{holder: holder, deadline: deadline}
	return true
}

// Register takes in a permit that a previous keeper granted.
func (g *Gate) Register(id carawaycart.PermitID, holder carawaycart.InstanceID, deadline time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.permits[id] = permit{holder: holder, deadline: deadline}
}

func (g *Gate) slots() int {
	switch g.state {
	case carawaycart.EndpointUnknown, carawaycart.EndpointCold:
		return min(g.profile.ColdRequests, g.endpoint.Slots)
	case carawaycart.EndpointDead:
		return 0
	}
	return g.endpoint.Slots
}

func (g *Gate) expire(now time.Time) {
	for id, p := range g.permits {
		if !now.Before(p.deadline) {
			delete(g.permits, id)
		}
	}
}

// Release returns a request slot; shed tells that the endpoint refused the
// request because it had no room.
func (g *Gate) Release(id carawaycart.PermitID, shed bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.permits, id)
	if shed {
		g.shedUntil = now.Add(shedPeriod)
	}
}

// Requests returns how many request slots are in use.
func (g *Gate) Requests() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.permits)
}
