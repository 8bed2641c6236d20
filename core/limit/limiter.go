package limit

import (
	"sync"
	"time"

	"carawaycart"
)

const (
	// silenceTimeout is the age of the last report at which an endpoint becomes
	// silent. Several reports are missing by then, so that a single lost one does
	// not change the state.
	silenceTimeout = 3 * time.Second

	// propagationDelay is the time after which all instances have received a
	// status.
	propagationDelay = 1200 * time.Millisecond

	// permitGracePeriod is the time in which instances register the permits that
	// they hold with a new keeper. The keeper grants no permits before its end.
	permitGracePeriod = time.Second

	// shedBackoff is the time for which an endpoint that has shed a request gets no
	// new requests and, in state open, no new flows.
	shedBackoff = time.Second

	// deadThreshold is the number of refused connections, without a report in
	// between, at which an endpoint becomes dead.
	deadThreshold = 2
)

// Limiter limits the flows and requests admitted to one endpoint. It is safe for
// concurrent use.
type Limiter struct {
	mu       sync.Mutex
	endpoint carawaycart.Endpoint
	profile  carawaycart.Profile

	state          carawaycart.EndpointState
	guarded        bool      // packets of the endpoint's slots must pass through the keeper
	guardedUntil   time.Time // earliest time at which the guard may be removed
	spilloverStart time.Time // earliest time at which flows may be admitted to other endpoints

	lastReport         carawaycart.LoadReport
	lastReportAt       time.Time // arrival of lastReport, or the takeover by this keeper
	refusedConnections int       // refused connections since the last report
	flowsSinceReport   int       // flows admitted since the last report
	flowsSinceCold     int       // flows admitted since the endpoint became cold, or since the takeover
	warmupStart        time.Time
	warmupEnd          time.Time // zero if no warm-up has started since the endpoint was last cold
	shedUntil          time.Time // end of the backoff after a shed request
	permitsStart       time.Time // earliest time at which permits are granted
	permits            map[carawaycart.PermitID]permit
}

// permit is the use of one request slot by an instance, until a deadline.
type permit struct {
	instance carawaycart.InstanceID
	deadline time.Time
}

// NewLimiter returns the limiter of endpoint e, whose keeper this instance became at
// now. Inherited is the last status from the previous keeper; its version is zero if
// there was none. If its state is not open, the whole cold allowance counts as used,
// because the new keeper does not know how much of it is left.
func NewLimiter(e carawaycart.Endpoint, p carawaycart.Profile, inherited carawaycart.EndpointStatus, now time.Time) *Limiter {
	l := &Limiter{
		endpoint:     e,
		profile:      p,
		state:        inherited.State,
		guarded:      inherited.Guarded,
		lastReportAt: now,
		permits:      make(map[carawaycart.PermitID]permit),
	}
	if inherited.Version > 0 {
		l.permitsStart = now.Add(permitGracePeriod)
		if inherited.State != carawaycart.EndpointOpen {
			l.flowsSinceCold = p.ColdFlows
		}
	}
	if l.guarded {
		// The new keeper does not know yet which flows are owned by other endpoints,
		// so it keeps the guard and starts no spillover for a time.
		l.spilloverStart = now.Add(propagationDelay)
		l.guardedUntil = now.Add(2 * propagationDelay)
	}
	return l
}

// Configure replaces the endpoint and its profile.
func (l *Limiter) Configure(e carawaycart.Endpoint, p carawaycart.Profile) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endpoint = e
	l.profile = p
}

// RecordReport records a load report that arrived at now and updates the state of the
// endpoint. A warm-up starts when the state changes from cold or unknown to open.
func (l *Limiter) RecordReport(r carawaycart.LoadReport, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasCold := l.cold()
	l.lastReport = r
	l.lastReportAt = now
	l.refusedConnections = 0
	l.flowsSinceReport = 0
	switch {
	case r.Cold:
		if l.state == carawaycart.EndpointOpen || l.state == carawaycart.EndpointFull {
			// The endpoint was known to be warm, so it gets a whole new cold allowance.
			l.flowsSinceCold = 0
		}
		l.state = carawaycart.EndpointCold
		l.warmupEnd = time.Time{}
	case r.Shedding || r.Flows >= l.endpoint.MaxFlows:
		l.state = carawaycart.EndpointFull
	default:
		if wasCold {
			l.warmupStart = now
			l.warmupEnd = now.Add(l.profile.WarmupSeconds.Duration())
		}
		l.state = carawaycart.EndpointOpen
	}
}

// cold reports whether the endpoint is in state cold, or in state unknown, which is
// treated as cold.
func (l *Limiter) cold() bool {
	return l.state == carawaycart.EndpointCold || l.state == carawaycart.EndpointUnknown
}

// RecordFailure records that a request for a load report failed at now. The endpoint
// becomes dead after deadThreshold refused connections since the last report, and
// otherwise silent when that report is silenceTimeout old. If connectionRefused is
// true, no process listens at the endpoint's address.
func (l *Limiter) RecordFailure(connectionRefused bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if connectionRefused {
		l.refusedConnections++
	}
	switch {
	case l.refusedConnections >= deadThreshold:
		l.state = carawaycart.EndpointDead
	case now.Sub(l.lastReportAt) >= silenceTimeout && l.state != carawaycart.EndpointDead:
		l.state = carawaycart.EndpointSilent
	}
}

// UpdateGuard updates at now whether the endpoint is guarded, which means that
// packets of its slots must pass through the keeper. If flowsElsewhere is true,
// other endpoints own flows of those slots. The endpoint is guarded while it is not
// open or flowsElsewhere is true, and for twice propagationDelay after that.
func (l *Limiter) UpdateGuard(flowsElsewhere bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	needed := flowsElsewhere || l.state != carawaycart.EndpointOpen
	switch {
	case needed && !l.guarded:
		l.guarded = true
		l.spilloverStart = now.Add(propagationDelay)
		l.guardedUntil = now.Add(2 * propagationDelay)
	case needed:
		l.guardedUntil = now.Add(2 * propagationDelay)
	case l.guarded && !now.Before(l.guardedUntil):
		l.guarded = false
	}
}

// Status returns the state of the endpoint and whether it is guarded.
func (l *Limiter) Status() (carawaycart.EndpointState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.guarded
}

// LastReport returns the last load report and the time of its arrival. Before the
// first one it returns the zero report and the time at which the limiter was
// created.
func (l *Limiter) LastReport() (carawaycart.LoadReport, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastReport, l.lastReportAt
}

// SpilloverStart returns the earliest time at which flows may be admitted to other
// endpoints, because all instances then know that the endpoint is guarded. It
// returns false if the endpoint is not guarded.
func (l *Limiter) SpilloverStart() (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.spilloverStart, l.guarded
}

// AdmitFlow reports whether the endpoint may receive a new flow at now, and counts
// the flow if so.
func (l *Limiter) AdmitFlow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.canAdmitFlow(now) {
		return false
	}
	l.flowsSinceReport++
	l.flowsSinceCold++
	return true
}

// canAdmitFlow reports whether the limits allow one more flow at now.
func (l *Limiter) canAdmitFlow(now time.Time) bool {
	flows := l.lastReport.Flows + l.flowsSinceReport
	switch l.state {
	case carawaycart.EndpointUnknown, carawaycart.EndpointCold:
		return l.flowsSinceCold < l.profile.ColdFlows
	case carawaycart.EndpointOpen:
		return flows < l.endpoint.MaxFlows && !now.Before(l.shedUntil) && l.flowsSinceCold < l.warmupFlowLimit(now)
	case carawaycart.EndpointSilent:
		return flows < l.endpoint.MaxFlows
	}
	return false
}

// warmupFlowLimit returns the limit at now of flowsSinceCold during the warm-up. It
// grows linearly with time from the cold allowance. There is no limit after the
// warm-up, or if there was none.
func (l *Limiter) warmupFlowLimit(now time.Time) int {
	if !now.Before(l.warmupEnd) {
		return int(^uint(0) >> 1)
	}
	span := l.warmupEnd.Sub(l.warmupStart)
	elapsed := now.Sub(l.warmupStart)
	return l.profile.ColdFlows + int(int64(l.endpoint.MaxFlows)*int64(elapsed)/int64(span))
}

// AcquirePermit grants permit id to instance until deadline if a request slot is
// free at now, and reports whether it did. It returns true for a permit that is
// already held, so that a call can be retried.
func (l *Limiter) AcquirePermit(id carawaycart.PermitID, instance carawaycart.InstanceID, deadline, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.permits[id]; ok {
		return true
	}
	l.expirePermits(now)
	if now.Before(l.permitsStart) || now.Before(l.shedUntil) || len(l.permits) >= l.requestLimit() {
		return false
	}
	l.permits[id] = permit{instance: instance, deadline: deadline}
	return true
}

// RegisterPermit records a permit that a previous keeper granted. It does not check the
// limit of the endpoint.
func (l *Limiter) RegisterPermit(id carawaycart.PermitID, instance carawaycart.InstanceID, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.permits[id] = permit{instance: instance, deadline: deadline}
}

// requestLimit returns the number of request slots that may be in use.
func (l *Limiter) requestLimit() int {
	switch l.state {
	case carawaycart.EndpointUnknown, carawaycart.EndpointCold:
		return min(l.profile.ColdRequests, l.endpoint.RequestSlots)
	case carawaycart.EndpointDead:
		return 0
	}
	return l.endpoint.RequestSlots
}

// expirePermits deletes the permits whose deadline has passed at now.
func (l *Limiter) expirePermits(now time.Time) {
	for id, p := range l.permits {
		if !now.Before(p.deadline) {
			delete(l.permits, id)
		}
	}
}

// ReleasePermit frees the request slot of permit id at now. If shed is true, the
// endpoint refused the request because it was overloaded, and the backoff starts.
func (l *Limiter) ReleasePermit(id carawaycart.PermitID, shed bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.permits, id)
	if shed {
		l.shedUntil = now.Add(shedBackoff)
	}
}

// PermitCount returns the number of permits held, including expired ones that have
// not been deleted yet.
func (l *Limiter) PermitCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.permits)
}
