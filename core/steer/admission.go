package steer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycart"
)

const (
	// slowWindow is the time between changes of the level. The queue of an
	// endpoint turns over in about twice as long.
	slowWindow = 50 * time.Millisecond
	// lateWindow is the time between changes of the urgent level; most answers
	// take less.
	lateWindow = 200 * time.Millisecond
	// maxWindow is the time after which a window ends even with too few answers
	// for its share to be meaningful.
	maxWindow      = 500 * time.Millisecond
	minSlowAnswers = 5 // answers in a window that are needed to detect an overload
	minLateAnswers = 8 // answers to urgent requests in a window that are needed to detect an overload

	overloadShare     = 0.35 // share of slow answers above which the endpoints are overloaded
	underloadShare    = 0.15 // share of slow answers below which the endpoints have spare capacity
	slowSmoothing     = 0.5  // weight of the earlier windows in the smoothed share of slow answers
	levelIncrease     = 0.15 // added to the level after a window with overload
	levelGain         = 1.3  // also added, multiplied by the share beyond overloadShare
	levelDecrease     = 0.03 // subtracted from the level after a window without overload
	underloadDecrease = 0.15 // subtracted from the level after a window with spare capacity

	lateShare      = 0.4  // share of late answers to urgent requests above which some of these are refused too
	urgentGain     = 0.25 // added to the urgent level, multiplied by the share beyond lateShare
	urgentDecrease = 0.1  // subtracted from the urgent level otherwise

	// Answers within these percentages of the baseline are not slow or late,
	// unless they exceed the target by more than acknowledgementDelay.
	slowPercent = 140
	latePercent = 200
	// acknowledgementDelay is the time until an answer is acknowledged: Linux
	// delays acknowledgements by 40 ms, and a round trip is added.
	acknowledgementDelay = 50 * time.Millisecond

	maxUrgentRefused = 0.95        // bounds the refused share of the most urgent class, so that the end of an overload is detected
	refusalPeriod    = time.Second // time during which all flows of a caller are refused or admitted alike
	minTrafficShare  = 0.05        // share of the new flows above which a class can be the most urgent one

	baselineAnswers        = 32               // number of answers whose mean is the first baseline
	baselinePeriod         = 5 * time.Second  // time over which the baseline is averaged
	refusingBaselinePeriod = 30 * time.Second // the same for answers above the baseline while flows are refused
	arrivalDecay           = 0.95             // factor applied to the counts of new flows after every slow window
	overloadReportPeriod   = time.Second      // time between reports of a lasting overload
)

// Admission decides which new flows of a service are refused while its endpoints
// cannot answer in time. It is safe for concurrent use; the zero value admits all
// flows.
//
// A request is slow once it has waited beyond the midpoint between the baseline
// and its target, answered or not. While many requests are slow, a growing share
// of the new flows is refused, the least urgent first, as in F. Zhou et al.,
// "Overload Control for Scaling WeChat Microservices", SoCC 2018. The share rises
// quickly and falls slowly: a long flow that is admitted keeps sending requests,
// which cannot be refused later. Flows of the most urgent class are refused only if
// answers to its own requests are late, and in smaller steps.
type Admission struct {
	mu          sync.Mutex
	slow        answerWindow // answers to all requests
	late        answerWindow // answers to the most urgent requests
	slowShare   float64      // smoothed share of slow answers
	level       float64      // share of the less urgent flows that is refused
	urgentLevel float64      // share of the most urgent flows that is refused
	classes     []class      // ordered from the least urgent
	answerTimes timeoutEstimator
	reportedAt  time.Time // when the state was last reported
	refusing    bool      // whether flows were refused at reportedAt
}

// class holds the measurements of the requests of one priority.
type class struct {
	priority  int           // zero is the most urgent
	baseline  time.Duration // mean answer time without overload; zero if unknown
	answers   int           // number of answers that the baseline is based on, up to baselineAnswers
	updatedAt time.Time     // when the baseline was last updated
	arrivals  float64       // decayed count of new flows
	refused   float64       // share of the new flows that is refused
}

// answerWindow counts the answers of one measuring window and the bad ones among
// them, which are slow or late.
type answerWindow struct {
	start   time.Time
	answers int
	bad     int
}

func (w *answerWindow) record(bad bool) {
	w.answers++
	w.bad += boolToInt(bad)
}

// finish ends the window at now if it is at least period old and has either enough
// answers or the age maxWindow. It returns the share of bad answers in it, or zero
// if there were fewer than enough.
func (w *answerWindow) finish(now time.Time, period time.Duration, enough int) (share float64, ended bool) {
	age := now.Sub(w.start)
	if age < period || age < maxWindow && w.answers < enough {
		return 0, false
	}
	if w.answers >= enough {
		share = float64(w.bad) / float64(w.answers)
	}
	*w = answerWindow{start: now}
	return share, true
}

// answerTimeout returns the time after which a request without an answer counts as
// failed.
func (a *Admission) answerTimeout() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answerTimes.timeout(initialAnswerTimeout, minAnswerTimeout, maxAnswerTimeout)
}

// class returns the class of priority and adds it if it is new. The pointer is valid
// until the next class is added.
func (a *Admission) class(priority int) *class {
	i, ok := slices.BinarySearchFunc(a.classes, priority, func(c class, p int) int { return cmp.Compare(p, c.priority) })
	if !ok {
		a.classes = slices.Insert(a.classes, i, class{priority: priority})
	}
	return &a.classes[i]
}

// slowThreshold returns the answer time above which a request of c with the given
// target is slow.
func (c *class) slowThreshold(target time.Duration) time.Duration {
	if c.baseline == 0 {
		return target
	}
	midpoint := min(c.baseline+(target-c.baseline)/2, target)
	return max(midpoint, min(c.baseline*slowPercent/100, target+acknowledgementDelay))
}

// lateThreshold returns the answer time above which a request of c with the given
// target is late. It may exceed the target if the baseline does, since an answer is
// only observed when it is acknowledged.
func (c *class) lateThreshold(target time.Duration) time.Duration {
	return max(target, min(c.baseline*latePercent/100, target+acknowledgementDelay))
}

// SlowThreshold returns the answer time above which a request is slow.
func (a *Admission) SlowThreshold(priority int, target time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.class(priority).slowThreshold(target)
}

// RecordSlow records that a request reached its SlowThreshold unanswered at now.
func (a *Admission) RecordSlow(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeWindows(now)
	a.slow.record(true)
}

// RecordAnswer records at now that a request with the given target was answered
// after took. Slow reports whether RecordSlow was called for the request before.
func (a *Admission) RecordAnswer(priority int, took, target time.Duration, slow bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeWindows(now)
	a.answerTimes.observe(took)
	c := a.class(priority)
	if !slow {
		a.slow.record(took > c.slowThreshold(target))
	}
	if priority <= a.classes[a.mostUrgent()].priority {
		a.late.record(took > c.lateThreshold(target))
	}
	c.updateBaseline(took, a.level > 0, now)
}

// updateBaseline adds an answer time to the baseline at now. The first
// baselineAnswers times are averaged with equal weight, later ones exponentially
// over baselinePeriod. While flows are refused, times above the baseline get little
// weight, since they reflect the overload.
func (c *class) updateBaseline(took time.Duration, refusing bool, now time.Time) {
	period := baselinePeriod
	if refusing && took > c.baseline {
		period = refusingBaselinePeriod
	}
	weight := min(max(float64(now.Sub(c.updatedAt))/float64(period), 0), 1)
	if c.answers < baselineAnswers {
		c.answers++
		weight = 1 / float64(c.answers)
	}
	c.baseline += time.Duration(weight * float64(took-c.baseline))
	if now.After(c.updatedAt) {
		c.updatedAt = now
	}
}

// closeWindows evaluates the windows that have ended at now and adjusts the shares
// of refused flows.
func (a *Admission) closeWindows(now time.Time) {
	if late, ended := a.late.finish(now, lateWindow, minLateAnswers); ended {
		if late > lateShare {
			a.urgentLevel = min(a.urgentLevel+urgentGain*(late-lateShare), maxUrgentRefused)
		} else {
			a.urgentLevel = max(a.urgentLevel-urgentDecrease, 0)
		}
	}
	slowShare, ended := a.slow.finish(now, slowWindow, minSlowAnswers)
	if !ended {
		return
	}
	a.slowShare = slowSmoothing*a.slowShare + (1-slowSmoothing)*slowShare
	switch {
	case a.slowShare > overloadShare:
		a.level = min(a.level+levelIncrease+levelGain*(a.slowShare-overloadShare), 1)
	case a.slowShare < underloadShare:
		a.level = max(a.level-underloadDecrease, 0)
	default:
		a.level = max(a.level-levelDecrease, 0)
	}
	a.allocateRefusals()
	for i := range a.classes {
		a.classes[i].arrivals *= arrivalDecay
	}
}

// mostUrgent returns the index of the most urgent class that has more than
// minTrafficShare of the new flows, or zero if there is none.
func (a *Admission) mostUrgent() int {
	total := 0.0
	for i := range a.classes {
		total += a.classes[i].arrivals
	}
	for i := len(a.classes) - 1; i > 0; i-- {
		if a.classes[i].arrivals > minTrafficShare*total {
			return i
		}
	}
	return 0
}

// allocateRefusals sets the share of new flows that each class refuses.
func (a *Admission) allocateRefusals() {
	if len(a.classes) == 0 {
		return
	}
	mostUrgent := a.mostUrgent()
	below := 0.0
	for i := range mostUrgent {
		below += a.classes[i].arrivals
	}
	rest := a.level * below
	for i := range a.classes {
		c := &a.classes[i]
		switch {
		case i < mostUrgent && c.arrivals > 0:
			c.refused = min(rest/c.arrivals, 1)
			rest = max(rest-c.arrivals, 0)
		case i < mostUrgent:
			c.refused = 0
		case below == 0:
			c.refused = min(a.level, maxUrgentRefused)
		default:
			c.refused = a.urgentLevel
		}
	}
}

// Refuses reports whether a new flow of caller with requests of the given priority
// is refused at now, and counts the flow.
func (a *Admission) Refuses(caller carawaycart.FlowKey, priority int, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeWindows(now)
	c := a.class(priority)
	c.arrivals++
	return c.refused > 0 && hashFraction(caller, now) < c.refused
}

// hashFraction returns a number in [0, 1) that is the same for all flows of a caller
// within refusalPeriod, so that its retries do not displace the flows of others.
func hashFraction(k carawaycart.FlowKey, now time.Time) float64 {
	address := k.Caller.Addr().As4()
	period := uint64(now.UnixNano()) / uint64(refusalPeriod)
	h := xxhash.Sum64(address[:]) ^ period*0x9e3779b97f4a7c15
	h *= 0xff51afd7ed558ccd // the finalizer of MurmurHash3
	h ^= h >> 33
	return float64(h>>11) / (1 << 53)
}

// Overload describes how many new flows of a service are refused.
type Overload struct {
	Service carawaycart.ServiceID
	Slow    float64 // share of the requests that are slow
	Level   float64 // share of the less urgent flows that is refused
	Urgent  float64 // share of the most urgent flows that is refused
}

// report returns the state at now and whether it is to be reported to the observer,
// which is the case when refusals begin or end and every overloadReportPeriod in
// between.
func (a *Admission) report(now time.Time) (Overload, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	refusing := a.level > 0 || a.urgentLevel > 0
	if refusing == a.refusing && (!refusing || now.Sub(a.reportedAt) < overloadReportPeriod) {
		return Overload{}, false
	}
	a.refusing, a.reportedAt = refusing, now
	return Overload{Slow: a.slowShare, Level: a.level, Urgent: a.urgentLevel}, true
}
