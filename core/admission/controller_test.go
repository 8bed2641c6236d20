package admission

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"carawaycart"
)

var epoch = time.Unix(1000, 0)

// The tests send two kinds of requests: feeds, and orders, which are more urgent.
const (
	feedPriority  = 2
	orderPriority = 1
)

// caller returns the key of a flow from the n-th caller.
func caller(n int) carawaycart.FlowKey {
	return carawaycart.FlowKey{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}), 1000)}
}

func TestAdmitsAllWhileAnswersAreTimely(t *testing.T) {
	a := &Controller{}
	for n := range 1000 {
		now := epoch.Add(time.Duration(n) * 5 * time.Millisecond)
		a.RecordAnswer(feedPriority, 50*time.Millisecond, 100*time.Millisecond, false, now)
		if a.Refuses(caller(n), feedPriority, now) {
			t.Fatalf("got caller %d refused", n)
		}
	}
}

func TestRefusesLeastUrgentFirst(t *testing.T) {
	a := &Controller{}
	refused := make(map[int]int)
	for n := range 60 { // 0.6 s of late answers to feeds
		now := epoch.Add(time.Duration(n) * 10 * time.Millisecond)
		a.RecordAnswer(feedPriority, 300*time.Millisecond, 100*time.Millisecond, false, now)
		for _, priority := range []int{feedPriority, orderPriority} {
			if a.Refuses(caller(n), priority, now) {
				refused[priority]++
			}
		}
	}
	if refused[feedPriority] == 0 || refused[orderPriority] != 0 {
		t.Errorf("got %d feeds and %d orders refused, want some feeds and no orders", refused[feedPriority], refused[orderPriority])
	}
}

func TestRecoversAfterOverload(t *testing.T) {
	a := &Controller{}
	now := epoch
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		a.RecordAnswer(feedPriority, 300*time.Millisecond, 100*time.Millisecond, false, now)
		a.Refuses(caller(1), feedPriority, now)
	}
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		a.RecordAnswer(feedPriority, 50*time.Millisecond, 100*time.Millisecond, false, now)
	}
	for n := range 100 {
		if a.Refuses(caller(n), feedPriority, now) {
			t.Fatalf("got caller %d refused 3 s after the overload", n)
		}
	}
}

// Guards against lasting refusals after an instance starts while endpoints still
// reject the load that built up while all instances were down. The quick rejections
// are then the first answers in the baseline and make it too short.
func TestBaselineRecoversFromRejections(t *testing.T) {
	const (
		period     = 40 * time.Millisecond // time between answers
		rejections = 4                     // number of the first answers that are rejections
		warmup     = 125                   // answers before refusals count; they take 5 s
		answers    = 600
	)
	for _, rejected := range []time.Duration{3 * time.Millisecond, 8 * time.Millisecond, 48 * time.Millisecond} {
		random := rand.New(rand.NewPCG(3, 3))
		a := &Controller{}
		now := epoch
		refused := 0
		for n := range answers {
			now = now.Add(period)
			took := 52*time.Millisecond + time.Duration(random.ExpFloat64()*float64(12*time.Millisecond))
			if n < rejections {
				took = rejected
			}
			a.RecordAnswer(feedPriority, took, 100*time.Millisecond, false, now)
			if a.Refuses(caller(n), feedPriority, now) && n > warmup {
				refused++
			}
		}
		if refused > (answers-warmup)/100 {
			t.Errorf("rejections after %v: got %d of %d refused, want about 1%% at most", rejected, refused, answers-warmup)
		}
	}
}

// Guards against refusals without overload when the target of a route is shorter than
// the baseline, which includes the time until callers acknowledge an answer.
func TestWithTargetsBelowBaseline(t *testing.T) {
	for _, target := range []time.Duration{30 * time.Millisecond, 50 * time.Millisecond, 60 * time.Millisecond, 70 * time.Millisecond} {
		random := rand.New(rand.NewPCG(4, 4))
		a := &Controller{}
		refused := 0
		for n := range 2000 {
			now := epoch.Add(time.Duration(n) * 10 * time.Millisecond)
			priority := feedPriority
			if n%4 == 0 {
				priority = orderPriority
			}
			took := 52*time.Millisecond + time.Duration(random.ExpFloat64()*float64(12*time.Millisecond))
			a.RecordAnswer(priority, took, target, false, now)
			if a.Refuses(caller(n), priority, now) && n > 100 {
				refused++
			}
		}
		if refused > 20 { // 1%
			t.Errorf("target of %v: got %d of 1900 refused, want about 1%% at most", target, refused)
		}
	}
}

// Guards against refusals that never end because no answers arrive any more. The load
// is then unknown.
func TestDecaysWithoutAnswers(t *testing.T) {
	a := &Controller{}
	now := epoch
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		a.RecordAnswer(feedPriority, 300*time.Millisecond, 100*time.Millisecond, false, now)
	}
	for range 20 {
		now = now.Add(maxWindow)
		a.Refuses(caller(1), feedPriority, now)
	}
	if a.Refuses(caller(2), feedPriority, now) {
		t.Error("got a caller refused 10 s after the last answer")
	}
}

// Guards against a caller that gets in by retrying a refused flow from another port.
func TestDecidesRetriesConsistently(t *testing.T) {
	a := &Controller{
		classes: []class{{priority: feedPriority, refused: 0.5}},
		slow:    answerWindow{start: epoch}, late: answerWindow{start: epoch},
	}
	refused := 0
	for n := range 200 {
		k := caller(n)
		want := a.Refuses(k, feedPriority, epoch)
		if want {
			refused++
		}
		k.Caller = netip.AddrPortFrom(k.Caller.Addr(), 2000)
		if got := a.Refuses(k, feedPriority, epoch.Add(40*time.Millisecond)); got != want {
			t.Errorf("caller %d: got refused %t for its retry, want %t", n, got, want)
		}
	}
	if refused == 0 || refused == 200 {
		t.Errorf("got %d of 200 callers refused, want some", refused)
	}
}

// queue models the endpoints of a service: request slots that process requests in
// order of arrival. It rejects a request that would have to wait longer than maxWait.
type queue struct {
	freeAt  finishTimes // when each request slot becomes free
	maxWait time.Duration
}

// finishTimes is a heap of times, the earliest first.
type finishTimes []time.Duration

func (f finishTimes) Len() int           { return len(f) }
func (f finishTimes) Less(i, j int) bool { return f[i] < f[j] }
func (f finishTimes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *finishTimes) Push(x any)        { *f = append(*f, x.(time.Duration)) }
func (f *finishTimes) Pop() any          { old := *f; x := old[len(old)-1]; *f = old[:len(old)-1]; return x }

// serve returns when a request is answered that arrives at at and is processed for the
// time work. It returns false if the request is rejected.
func (q *queue) serve(at, work time.Duration) (time.Duration, bool) {
	begin := max(q.freeAt[0], at)
	if begin-at > q.maxWait {
		return 0, false
	}
	heap.Pop(&q.freeAt)
	heap.Push(&q.freeAt, begin+work)
	return begin + work, true
}

// answer is an answer that has not reached the instance yet.
type answer struct {
	sentAt, done, target time.Duration
	priority             int
}

// replayBurst sends requests to 28 request slots for 6 s: orders of value 2 and feeds of
// value 1, each on a new flow. The load is a multiple of the capacity of the slots, and
// control tells whether a Controller may refuse flows. It returns the share of the
// value that is answered within its target.
func replayBurst(load float64, control bool) float64 {
	const (
		slots       = 28
		feedWork    = 30 * time.Millisecond
		orderWork   = 39 * time.Millisecond
		feedTarget  = 150 * time.Millisecond
		orderTarget = 200 * time.Millisecond
		orderShare  = 0.22
		span        = 6 * time.Second
		// queueLimit is about the time for 8 queued requests at 2 request slots, whose
		// times vary.
		queueLimit = 170 * time.Millisecond
	)
	perSecond := load * slots / ((1-orderShare)*feedWork.Seconds() + orderShare*orderWork.Seconds())
	random := rand.New(rand.NewPCG(7, 7))
	q := &queue{freeAt: make(finishTimes, slots), maxWait: queueLimit}
	a := &Controller{}
	var underway []answer
	offered, inTime := 0.0, 0.0
	for at := time.Duration(0); at < span; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		for len(underway) > 0 && underway[0].done <= at {
			u := underway[0]
			a.RecordAnswer(u.priority, u.done-u.sentAt, u.target, false, epoch.Add(u.done))
			underway = underway[1:]
		}
		value, work, target, priority := 1.0, feedWork, feedTarget, feedPriority
		if random.Float64() < orderShare {
			value, work, target, priority = 2, orderWork, orderTarget, orderPriority
		}
		offered += value
		if control && a.Refuses(caller(random.IntN(1<<16)), priority, epoch.Add(at)) {
			continue
		}
		done, ok := q.serve(at, time.Duration(random.ExpFloat64()*float64(work)))
		if !ok {
			continue
		}
		if done-at <= target {
			inTime += value
		}
		underway = append(underway, answer{at, done, target, priority})
	}
	return inTime / offered
}

// Guards against late answers to nearly all requests when a burst of new flows exceeds
// the capacity of the endpoints. Without refusals, requests wait in full queues.
func TestUnderBursts(t *testing.T) {
	for _, load := range []float64{0.6, 0.9, 1.2, 1.5, 2.5} {
		got, without := replayBurst(load, true), replayBurst(load, false)
		want := 0.95
		if load > 1 {
			want = 2.0 / 3 / load // two thirds of the capacity of the slots
		}
		if got < want {
			t.Errorf("load %v: got %.2f of the value in time, want at least %.2f (%.2f without refusals)", load, got, want, without)
		}
		if load > 1 && got <= without {
			t.Errorf("load %v: got %.2f with refusals and %.2f without", load, got, without)
		}
	}
}

// longFlows is the state of replayLongFlows.
type longFlows struct {
	random  *rand.Rand
	queue   *queue
	fleet   []*Controller
	due     map[int][]func(now time.Time) // callbacks by the millisecond in which they are called
	offered float64                       // value of the requests that were sent or refused
	inTime  float64                       // value of the requests that were answered within their targets
}

// send sends a request through a at the given millisecond and schedules the reports
// of its answer to a. The instance observes the answer ackDelay later, when the caller
// acknowledges it.
func (l *longFlows) send(a *Controller, ms, priority int, value float64, work, target, ackDelay time.Duration) {
	at := time.Duration(ms) * time.Millisecond
	done, ok := l.queue.serve(at, time.Duration(l.random.ExpFloat64()*float64(work)))
	if !ok {
		done = at // rejected immediately
	} else if done-at <= target {
		l.inTime += value
	}
	took := done - at + ackDelay
	limit := a.SlowThreshold(priority, target)
	slow := took > limit
	if slow {
		l.schedule(at+limit, a.RecordSlow)
	}
	l.schedule(at+took, func(now time.Time) { a.RecordAnswer(priority, took, target, slow, now) })
}

// schedule adds do to the callbacks of the millisecond that contains when.
func (l *longFlows) schedule(when time.Duration, do func(time.Time)) {
	ms := int(when / time.Millisecond)
	l.due[ms] = append(l.due[ms], do)
}

// replayLongFlows replays a burst on flows that stay open: each feed opens a flow with
// its first request and then sends one request per second, whatever the load. Orders
// arrive on new flows. Each of several instances sees a part of the callers.
//
// It returns the share of the value that is answered within its target during 6 s of
// burst times the normal load, which occupies 47% of the request slots. The argument
// control tells whether flows may be refused.
func replayLongFlows(burst float64, control bool) float64 {
	const (
		instances, slots        = 14, 28
		feeds, orders           = 320, 91 // per second
		feedWork, orderWork     = 30 * time.Millisecond, 39 * time.Millisecond
		feedTarget, orderTarget = 150 * time.Millisecond, 200 * time.Millisecond
		feedAckDelay, roundTrip = 46 * time.Millisecond, 6 * time.Millisecond
		queueLimit              = 130 * time.Millisecond
		// Start and end of the burst and period of a feed's requests, in milliseconds.
		begin, end, sendPeriod = 4000, 10000, 1000
	)
	l := &longFlows{
		random: rand.New(rand.NewPCG(5, 5)), queue: &queue{freeAt: make(finishTimes, slots), maxWait: queueLimit}, due: make(map[int][]func(time.Time)),
	}
	for range instances {
		l.fleet = append(l.fleet, &Controller{})
	}
	type feed struct {
		phase     int // offset of its requests in milliseconds
		admission *Controller
		open      bool
	}
	all := make([]feed, int(burst*feeds))
	for i := range all {
		all[i] = feed{phase: l.random.IntN(sendPeriod), admission: l.fleet[l.random.IntN(instances)]}
	}
	for ms := range end {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		for _, do := range l.due[ms] {
			do(now)
		}
		if ms == begin {
			l.offered, l.inTime = 0, 0
		}
		n, perSecond := feeds, float64(orders)
		if ms >= begin {
			n, perSecond = len(all), burst*orders
		}
		for i := range all[:n] {
			f := &all[i]
			if ms%sendPeriod != f.phase {
				continue
			}
			l.offered++
			if !f.open && control && f.admission.Refuses(caller(i), feedPriority, now) {
				continue
			}
			f.open = true
			l.send(f.admission, ms, feedPriority, 1, feedWork, feedTarget, feedAckDelay)
		}
		for range poisson(l.random, perSecond/1000) {
			l.offered += 2
			a := l.fleet[l.random.IntN(instances)]
			if control && a.Refuses(caller(l.random.IntN(1<<16)), orderPriority, now) {
				continue
			}
			l.send(a, ms, orderPriority, 2, orderWork, orderTarget, roundTrip)
		}
	}
	return l.inTime / l.offered
}

// poisson returns a random number of events from the Poisson distribution with the
// given mean.
func poisson(r *rand.Rand, mean float64) int {
	n := 0
	for sum := r.ExpFloat64(); sum < mean; sum += r.ExpFloat64() {
		n++
	}
	return n
}

// Guards against refusals that increase too slowly under a burst on flows that stay
// open: flows admitted before the overload is detected cannot be refused later.
func TestUnderBurstsOnLongFlows(t *testing.T) {
	for _, test := range []struct{ burst, want float64 }{{1.7, 0.97}, {2.6, 0.75}, {4, 0.45}} {
		got, without := replayLongFlows(test.burst, true), replayLongFlows(test.burst, false)
		if got < test.want {
			t.Errorf("burst of %v: got %.3f of the value in time, want at least %.2f (%.3f without refusals)", test.burst, got, test.want, without)
		}
		t.Logf("burst of %v: got %.3f of the value in time (%.3f without refusals)", test.burst, got, without)
	}
}
