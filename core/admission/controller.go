package admission

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycart"
	"carawaycart/core/timeout"
)

const (
	// slowWindow is the minimum time between changes of Controller.refusedShare. An
	// endpoint takes about twice as long to process the requests in its queue.
	slowWindow = 50 * time.Millisecond
	// lateWindow is the minimum time between changes of
	// Controller.urgentRefusedShare; most answers take less.
	lateWindow = 200 * time.Millisecond
	// maxWindow is the age at which a window ends even with too few answers for
	// its share of bad ones to be meaningful; the share then counts as zero.
	maxWindow      = 500 * time.Millisecond
	minSlowAnswers = 5 // minimum number of answers in a slowWindow for a meaningful share
	minLateAnswers = 8 // minimum number of answers in a lateWindow for a meaningful share

	overloadShare = 0.35 // share of slow answers above which the endpoints are overloaded
	// underloadShare is the share of slow answers below which the endpoints have
	// spare capacity.
	underloadShare = 0.15
	slowSmoothing  = 0.5 // weight of the earlier windows in Controller.slowShare

	// After every slowWindow, Controller.refusedShare grows or shrinks. Above
	// overloadShare, it grows by refusalIncrease and by refusalGain for each unit of
	// the share of slow answers beyond overloadShare. Below underloadShare, it
	// shrinks by underloadRefusalDecrease, and in between by refusalDecrease.
	refusalIncrease          = 0.15
	refusalGain              = 1.3
	refusalDecrease          = 0.03
	underloadRefusalDecrease = 0.15

	// lateShare is the share of late answers to the most urgent requests above which
	// some of their flows are refused too. After every lateWindow,
	// Controller.urgentRefusedShare grows by urgentRefusalGain for each unit beyond
	// lateShare, or else shrinks by urgentRefusalDecrease.
	lateShare             = 0.4
	urgentRefusalGain     = 0.25
	urgentRefusalDecrease = 0.1

	// Answer times up to these percentages of the baseline of their class are not
	// slow or late, as long as they exceed the target by no more than
	// acknowledgementDelay.
	slowBaselinePercent = 140
	lateBaselinePercent = 200
	// acknowledgementDelay limits the time between an answer and its acknowledgement,
	// which is what an instance observes: Linux delays acknowledgements by 40 ms, and
	// a round trip is added.
	acknowledgementDelay = 50 * time.Millisecond

	// maxUrgentRefusedShare limits the refused share of the most urgent class. The
	// end of an overload can only be detected from the answers to admitted flows.
	maxUrgentRefusedShare = 0.95
	refusalPeriod         = time.Second // time for which the hashFraction of a caller stays the same
	// minTrafficShare is the share of the new flows above which a class can be the
	// most urgent one.
	minTrafficShare = 0.05

	baselineAnswers = 32              // number of answers whose mean is the first baseline
	baselinePeriod  = 5 * time.Second // time over which the baseline is averaged
	// refusingBaselinePeriod replaces baselinePeriod for answer times above the
	// baseline while flows are refused.
	refusingBaselinePeriod = 30 * time.Second
	arrivalDecay           = 0.95        // factor applied to the counts of new flows after every slowWindow
	overloadReportPeriod   = time.Second // minimum time between reports of a lasting overload

	// Limits of the timeout for answers to requests, and its value before the first
	// answer. Processing times vary widely.
	minAnswerTimeout     = 150 * time.Millisecond
	maxAnswerTimeout     = time.Second
	initialAnswerTimeout = 500 * time.Millisecond
)

// Controller decides which new flows of a service are refused while its endpoints
// cannot answer in time. It is safe for concurrent use; the zero value admits all
// flows.
//
// Requests of equal priority form a class. The baseline of a class is the mean time
// of its answers without overload, and the target is the time within which its
// requests should be answered. A request is slow, answered or not, once it has
// waited for about the midpoint between baseline and target. While many requests are
// slow, a growing share of the new flows is refused, the least urgent first, as in F.
// Zhou et al., "Overload Control for Scaling WeChat Microservices", SoCC 2018. The
// share rises quickly and falls slowly: a long flow that is admitted keeps sending
// requests, which cannot be refused later. While there are new flows of less urgent
// classes, those of the most urgent class are refused only if answers to its own
// requests are late, which is beyond the target, and in smaller steps.
type Controller struct {
	mu                 sync.Mutex
	slow               answerWindow      // all requests; slow ones are bad
	late               answerWindow      // requests of the most urgent class; late ones are bad
	slowShare          float64           // share of slow answers, smoothed over the windows
	refusedShare       float64           // share of the new flows of the less urgent classes that is refused
	urgentRefusedShare float64           // share of the new flows of the most urgent class that is refused
	classes            []class           // ordered by urgency, the least urgent first
	answerTimes        timeout.Estimator // times of all answers, from which AnswerTimeout is estimated
	reportedAt         time.Time         // when Report last returned true
	refusing           bool              // whether flows were refused at reportedAt
}

// class holds the measurements of the requests of one priority and the resulting
// share of refusals.
type class struct {
	priority  int           // zero is the most urgent
	baseline  time.Duration // mean answer time without overload; zero if unknown
	answers   int           // number of answers that the baseline is based on, up to baselineAnswers
	updatedAt time.Time     // when the baseline was last updated
	arrivals  float64       // decayed count of new flows, including refused ones
	refused   float64       // share of the new flows that is refused
}

// answerWindow counts the answers that were recorded since start and the bad ones
// among them. An unanswered request that is slow counts as a bad answer.
type answerWindow struct {
	start   time.Time
	answers int
	bad     int
}

func (w *answerWindow) record(bad bool) {
	w.answers++
	if bad {
		w.bad++
	}
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

// AnswerTimeout returns the time after which a request without an answer counts as
// failed.
func (a *Controller) AnswerTimeout() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.answerTimes.Timeout(initialAnswerTimeout, minAnswerTimeout, maxAnswerTimeout)
}

// class returns the class with the given priority and adds it if it is new. The
// pointer is valid until the next class is added. a.mu must be held.
func (a *Controller) class(priority int) *class {
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
	return max(midpoint, min(c.baseline*slowBaselinePercent/100, target+acknowledgementDelay))
}

// lateThreshold returns the answer time above which a request of c with the given
// target is late. It may exceed the target if the baseline does, since an answer is
// only observed when it is acknowledged.
func (c *class) lateThreshold(target time.Duration) time.Duration {
	return max(target, min(c.baseline*lateBaselinePercent/100, target+acknowledgementDelay))
}

// SlowThreshold returns the answer time above which a request of the given priority
// and target is slow. It is the target if no request of this priority was answered
// yet.
func (a *Controller) SlowThreshold(priority int, target time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.class(priority).slowThreshold(target)
}

// RecordSlow records that a request reached its SlowThreshold unanswered at now.
func (a *Controller) RecordSlow(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeWindows(now)
	a.slow.record(true)
}

// RecordAnswer records at now that a request of the given priority and target was
// answered after the time took. The argument slow tells whether RecordSlow was called
// for the request before.
func (a *Controller) RecordAnswer(priority int, took, target time.Duration, slow bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeWindows(now)
	a.answerTimes.Observe(took)
	c := a.class(priority)
	if !slow {
		a.slow.record(took > c.slowThreshold(target))
	}
	if priority <= a.classes[a.mostUrgent()].priority {
		a.late.record(took > c.lateThreshold(target))
	}
	c.updateBaseline(took, a.refusedShare > 0, now)
}

// updateBaseline adds an answer time to the baseline at now. The first
// baselineAnswers times are averaged with equal weight, later ones exponentially
// over baselinePeriod. While flows are refused, these get little weight if they exceed
// the baseline, since they reflect the overload.
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

// closeWindows ends the windows that are due at now, and adjusts the shares of refused
// flows by the shares of bad answers in them. a.mu must be held.
func (a *Controller) closeWindows(now time.Time) {
	if late, ended := a.late.finish(now, lateWindow, minLateAnswers); ended {
		if late > lateShare {
			a.urgentRefusedShare = min(a.urgentRefusedShare+urgentRefusalGain*(late-lateShare), maxUrgentRefusedShare)
		} else {
			a.urgentRefusedShare = max(a.urgentRefusedShare-urgentRefusalDecrease, 0)
		}
	}
	slowShare, ended := a.slow.finish(now, slowWindow, minSlowAnswers)
	if !ended {
		return
	}
	a.slowShare = slowSmoothing*a.slowShare + (1-slowSmoothing)*slowShare
	switch {
	case a.slowShare > overloadShare:
		a.refusedShare = min(a.refusedShare+refusalIncrease+refusalGain*(a.slowShare-overloadShare), 1)
	case a.slowShare < underloadShare:
		a.refusedShare = max(a.refusedShare-underloadRefusalDecrease, 0)
	default:
		a.refusedShare = max(a.refusedShare-refusalDecrease, 0)
	}
	a.allocateRefusals()
	for i := range a.classes {
		a.classes[i].arrivals *= arrivalDecay
	}
}

// mostUrgent returns the index in classes of the most urgent class that has more than
// minTrafficShare of the new flows. It returns zero, the least urgent, if there is
// none. Even more urgent classes with less traffic are treated like it.
func (a *Controller) mostUrgent() int {
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

// allocateRefusals sets the refused share of each class. Of the new flows of the
// classes below the most urgent one, refusedShare is refused in total, the least urgent
// first. Without any such flows, refusedShare applies to the most urgent class.
func (a *Controller) allocateRefusals() {
	if len(a.classes) == 0 {
		return
	}
	mostUrgent := a.mostUrgent()
	lessUrgent := 0.0
	for i := range mostUrgent {
		lessUrgent += a.classes[i].arrivals
	}
	remaining := a.refusedShare * lessUrgent
	for i := range a.classes {
		c := &a.classes[i]
		switch {
		case i < mostUrgent && c.arrivals > 0:
			c.refused = min(remaining/c.arrivals, 1)
			remaining = max(remaining-c.arrivals, 0)
		case i < mostUrgent:
			c.refused = 0
		case lessUrgent == 0:
			c.refused = min(a.refusedShare, maxUrgentRefusedShare)
		default:
			c.refused = a.urgentRefusedShare
		}
	}
}

// Refuses reports whether a new flow of caller with requests of the given priority
// is refused at now. It counts the flow as one of the new flows of its class.
func (a *Controller) Refuses(caller carawaycart.FlowKey, priority int, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closeWindows(now)
	c := a.class(priority)
	c.arrivals++
	return c.refused > 0 && hashFraction(caller, now) < c.refused
}

// hashFraction returns a number in [0, 1) that is the same for all flows from an IPv4
// address within each refusalPeriod. A caller that retries a refused flow is thus
// refused again, instead of displacing the flows of others.
func hashFraction(k carawaycart.FlowKey, now time.Time) float64 {
	address := k.Caller.Addr().As4()
	period := uint64(now.UnixNano()) / uint64(refusalPeriod)
	h := xxhash.Sum64(address[:]) ^ period*0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	h *= 0xff51afd7ed558ccd                                   // a step of the finalizer of MurmurHash3
	h ^= h >> 33
	return float64(h>>11) / (1 << 53)
}

// Overload is the state of the Controller of a service.
type Overload struct {
	Service            carawaycart.ServiceID
	SlowShare          float64 // share of the requests that are slow, smoothed
	RefusedShare       float64 // share of the new flows of the less urgent classes that is refused
	UrgentRefusedShare float64 // share of the new flows of the most urgent class that is refused
}

// Report returns the state of a, without Service, and whether it is to be reported to
// the observer at now: when refusals begin or end, and every overloadReportPeriod in
// between. If it is not, the state is zero.
func (a *Controller) Report(now time.Time) (Overload, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	refusing := a.refusedShare > 0 || a.urgentRefusedShare > 0
	if refusing == a.refusing && (!refusing || now.Sub(a.reportedAt) < overloadReportPeriod) {
		return Overload{}, false
	}
	a.refusing, a.reportedAt = refusing, now
	return Overload{SlowShare: a.slowShare, RefusedShare: a.refusedShare, UrgentRefusedShare: a.urgentRefusedShare}, true
}
