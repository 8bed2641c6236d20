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
	slowPeriod    = 50 * time.Millisecond  // between changes of the level; a queue of a host turns over in about twice as long
	latePeriod    = 200 * time.Millisecond // between changes of the urgent share; most answers take less
	patientPeriod = 500 * time.Millisecond // after which a period ends with too few answers to tell anything
	minSlow       = 5                      // a period needs so many answers to show an overload
	minLate       = 8                      // the same for urgent requests

	overloadShare = 0.35 // of slow answers, above which the hosts have more than they can do
	calmShare     = 0.15 // of slow answers, below which they have less
	slowMemory    = 0.5  // of the share of slow answers, from one period to the next
	levelUp       = 0.15 // added to the level after a period of overload
	levelGain     = 1.3  // added besides, times the share beyond overloadShare
	levelDown     = 0.03 // taken off after a period without overload
	calmDown      = 0.15 // taken off after a calm one

	lateShare  = 0.4  // of late answers to urgent requests, above which some of those are refused too
	urgentGain = 0.25 // added to their share, times the share beyond lateShare
	urgentDown = 0.1  // taken off their share otherwise

	slowFactor   = 140                   // percent of the usual time, which is never slow
	lateFactor   = 200                   // percent of the usual time, which is never late
	receiptDelay = 50 * time.Millisecond // of an answer: Linux delays acknowledgements by 40 ms, and a round trip

	maxRefused  = 0.95        // of the most urgent class, so that an end of the overload shows
	refusalSpan = time.Second // for which a caller is refused or admitted alike
	minTraffic  = 0.05        // of the new flows, for a class to count as the most urgent

	usualAnswers = 32               // whose mean is the first usual time
	usualSpan    = 5 * time.Second  // over which the usual time is averaged
	refusingSpan = 30 * time.Second // the same for longer answers while flows are refused
	arrivalDecay = 0.95             // of the count of new flows, from one period to the next
	reportSpan   = time.Second      // between reports of an overload that lasts
)

// Admission decides which new flows of a service are refused when its endpoints
// cannot answer in time; it is safe for concurrent use.
//
// A request is slow once it has waited for half of the time between the usual
// answer and its target, answered or not. While many are slow, a growing share of
// the new flows is refused, the least urgent first, as by F. Zhou et al., "Overload
// Control for Scaling WeChat Microservices", SoCC 2018. The share rises quickly and
// falls slowly: a long flow that is let in goes on sending, and cannot be refused
// later. The most urgent requests are refused only if their own answers are late,
// and in smaller steps.
type Admission struct {
	mu       sync.Mutex
	slow     gauge
	late     gauge   // of the most urgent requests
	share    float64 // of slow answers, smoothed
	level    float64 // share of the less urgent flows that is refused
	urgent   float64 // share of the most urgent flows that is refused
	classes  []class // the least urgent first
	times    patience
	reported time.Time
	active   bool // as reported
}

// class is what is known of the requests of one priority.
type class struct {
	priority int           // zero is the most urgent
	usual    time.Duration // of an answer while there is no overload
	answers  int           // that usual was learnt from, up to usualAnswers
	learnt   time.Time     // when the last of them came
	arrivals float64       // new flows lately
	refused  float64       // share of new flows
}

// gauge measures the share of bad answers by periods.
type gauge struct {
	began   time.Time
	answers int
	bad     int
}

func (g *gauge) add(bad bool) {
	g.answers++
	g.bad += one(bad)
}

// end ends the period at now if it has lasted long enough, and returns the share
// of bad answers in it, zero if there were fewer than enough.
func (g *gauge) end(now time.Time, period time.Duration, enough int) (share float64, ended bool) {
	age := now.Sub(g.began)
	if age < period || age < patientPeriod && g.answers < enough {
		return 0, false
	}
	if g.answers >= enough {
		share = float64(g.bad) / float64(g.answers)
	}
	*g = gauge{began: now}
	return share, true
}

// patience returns how long an answer may usually take.
func (a *Admission) patience() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.times.limit(initialAnswerPatience, minAnswerPatience, maxAnswerPatience)
}

// class returns the class of priority.
func (a *Admission) class(priority int) *class {
	i, ok := slices.BinarySearchFunc(a.classes, priority, func(c class, p int) int { return cmp.Compare(p, c.priority) })
	if !ok {
		a.classes = slices.Insert(a.classes, i, class{priority: priority})
	}
	return &a.classes[i]
}

// allowance returns how long an answer to a request of c with the given target may
// take before the request is slow.
func (c *class) allowance(target time.Duration) time.Duration {
	if c.usual == 0 {
		return target
	}
	half := min(c.usual+(target-c.usual)/2, target)
	return max(half, min(c.usual*slowFactor/100, target+receiptDelay))
}

// limit returns how long an answer to a request of c with the given target may take
// before the request is late: the usual time may be longer than the target, since
// the answer only shows when it is acknowledged.
func (c *class) limit(target time.Duration) time.Duration {
	return max(target, min(c.usual*lateFactor/100, target+receiptDelay))
}

// Allowance returns how long an answer to a request may take before the request
// is slow.
func (a *Admission) Allowance(priority int, target time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.class(priority).allowance(target)
}

// Slow notes that a request has waited for its Allowance at now.
func (a *Admission) Slow(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.roll(now)
	a.slow.add(true)
}

// Answered notes that an answer took as long as took, of a request that should
// be answered within target. Slow tells that Slow was called for it before.
func (a *Admission) Answered(priority int, took, target time.Duration, slow bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.roll(now)
	a.times.observe(took)
	c := a.class(priority)
	if !slow {
		a.slow.add(took > c.allowance(target))
	}
	if priority <= a.classes[a.top()].priority {
		a.late.add(took > c.limit(target))
	}
	c.learn(took, a.level > 0, now)
}

// learn takes in at now how long an answer took: the first ones by their mean, later
// ones by an exponential average over usualSpan. Longer ones than usual count little
// while flows are refused, since they are not usual.
func (c *class) learn(took time.Duration, refusing bool, now time.Time) {
	span := usualSpan
	if refusing && took > c.usual {
		span = refusingSpan
	}
	weight := min(max(float64(now.Sub(c.learnt))/float64(span), 0), 1)
	if c.answers < usualAnswers {
		c.answers++
		weight = 1 / float64(c.answers)
	}
	c.usual += time.Duration(weight * float64(took-c.usual))
	if now.After(c.learnt) {
		c.learnt = now
	}
}

// roll ends the periods that are over at now.
func (a *Admission) roll(now time.Time) {
	if late, ended := a.late.end(now, latePeriod, minLate); ended {
		if late > lateShare {
			a.urgent = min(a.urgent+urgentGain*(late-lateShare), maxRefused)
		} else {
			a.urgent = max(a.urgent-urgentDown, 0)
		}
	}
	share, ended := a.slow.end(now, slowPeriod, minSlow)
	if !ended {
		return
	}
	a.share = slowMemory*a.share + (1-slowMemory)*share
	switch {
	case a.share > overloadShare:
		a.level = min(a.level+levelUp+levelGain*(a.share-overloadShare), 1)
	case a.share < calmShare:
		a.level = max(a.level-calmDown, 0)
	default:
		a.level = max(a.level-levelDown, 0)
	}
	a.deal()
	for i := range a.classes {
		a.classes[i].arrivals *= arrivalDecay
	}
}

// top returns the index of the most urgent class with traffic to speak of.
func (a *Admission) top() int {
	total := 0.0
	for i := range a.classes {
		total += a.classes[i].arrivals
	}
	for i := len(a.classes) - 1; i > 0; i-- {
		if a.classes[i].arrivals > minTraffic*total {
			return i
		}
	}
	return 0
}

// deal sets the share of each class that is refused.
func (a *Admission) deal() {
	if len(a.classes) == 0 {
		return
	}
	top := a.top()
	below := 0.0
	for i := range top {
		below += a.classes[i].arrivals
	}
	rest := a.level * below
	for i := range a.classes {
		c := &a.classes[i]
		switch {
		case i < top && c.arrivals > 0:
			c.refused = min(rest/c.arrivals, 1)
			rest = max(rest-c.arrivals, 0)
		case i < top:
			c.refused = 0
		case below == 0:
			c.refused = min(a.level, maxRefused)
		default:
			c.refused = a.urgent
		}
	}
}

// Refuses reports whether a new flow of caller, for requests of the given
// priority, is refused at now.
func (a *Admission) Refuses(caller carawaycart.FlowKey, priority int, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.roll(now)
	c := a.class(priority)
	c.arrivals++
	return c.refused > 0 && lot(caller, now) < c.refused
}

// lot returns a number from 0 to 1 that is the same for all flows of a caller
// within refusalSpan, so that its retries do not push others aside.
func lot(k carawaycart.FlowKey, now time.Time) float64 {
	address := k.Caller.Addr().As4()
	span := uint64(now.UnixNano()) / uint64(refusalSpan)
	h := xxhash.Sum64(address[:]) ^ span*0x9e3779b97f4a7c15
	h *= 0xff51afd7ed558ccd // the finalizer of MurmurHash3
	h ^= h >> 33
	return float64(h>>11) / (1 << 53)
}

// Overload is how far new flows of a service are refused.
type Overload struct {
	Service carawaycart.ServiceID
	Slow    float64 // share of the requests
	Level   float64 // share of the less urgent flows that is refused
	Urgent  float64 // share of the most urgent flows that is refused
}

// report returns the state at now, and whether observers should be told: when
// refusals begin or end, and once in reportSpan between.
func (a *Admission) report(now time.Time) (Overload, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	active := a.level > 0 || a.urgent > 0
	if active == a.active && (!active || now.Sub(a.reported) < reportSpan) {
		return Overload{}, false
	}
	a.active, a.reported = active, now
	return Overload{Slow: a.share, Level: a.level, Urgent: a.urgent}, true
}
