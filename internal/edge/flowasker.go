package edge

import (
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"carawaycart"
	"carawaycart/core/steer"
	"carawaycart/internal/eventlog"
	"carawaycart/message"
)

const (
	// askedHolders is the number of other instances that are asked where a flow is open. It
	// exceeds flowHolders, so that one of those that were told is asked even if one has stopped.
	askedHolders = flowHolders + 1
	// maxQuestions limits the flows that are asked for at the same time, and
	// maxPacketsPerQuestion the packets of each that wait.
	maxQuestions          = 2048
	maxPacketsPerQuestion = 32

	askTimeout = 100 * time.Millisecond // time after which a question is asked again
	maxAsks    = 10                     // number of times that a question is asked
	// enoughUnknowing is the number of answers of instances that cannot have missed a flow and do
	// not know it after which nobody does: of those asked, each flow is told to flowHolders.
	enoughUnknowing = 2
)

// flowAsker retains packets whose token may be that of an endpoint at which their flow is not
// open, and asks other instances for the endpoint. It is safe for concurrent use.
type flowAsker struct {
	router       *steer.Router
	disseminator *Disseminator
	conn         *net.UDPConn
	clock        carawaycart.Clock
	counters     *Counters
	log          *eventlog.Log
	wake         chan struct{} // signaled when a question is added to an empty questions
	stop         chan struct{} // closed by close
	done         sync.WaitGroup

	sending    sync.Mutex // guards translator
	translator *translator

	mu        sync.Mutex
	questions map[carawaycart.FlowKey]*flowQuestion
}

// flowQuestion is a flow whose endpoint is asked for.
type flowQuestion struct {
	packet    carawaycart.Packet // the first one that is retained
	retained  [][]byte           // packets in their order, after room for the endpoint's number
	askedAt   time.Time
	asks      int
	dueAt     time.Time                                           // when to ask again, or to give up
	pending   map[carawaycart.InstanceID]carawaycart.Registration // instances that have not answered
	unknowing int                                                 // instances that would know the flow, and do not
	assumed   carawaycart.Token                                   // of the packet for which another instance has asked first; zero if none has
}

// newFlowAsker returns an asker that sends retained packets on conn, as t translates them, until
// close is called. It receives the answers that come to d.
func newFlowAsker(t *translator, d *Disseminator, conn *net.UDPConn) *flowAsker {
	a := &flowAsker{
		router: t.router, disseminator: d, conn: conn, clock: t.clock, counters: t.counters, log: t.log, translator: t,
		wake: make(chan struct{}, 1), stop: make(chan struct{}), questions: make(map[carawaycart.FlowKey]*flowQuestion),
	}
	d.asker.Store(a)
	a.done.Go(func() {
		for {
			var due <-chan time.Time
			if wait, waiting := a.handleDue(); waiting {
				due = time.After(wait)
			}
			select {
			case <-a.stop:
				return
			case <-a.wake:
			case <-due:
			}
		}
	})
	return a
}

// close stops the asker. Retained packets are discarded.
func (a *flowAsker) close() {
	close(a.stop)
	a.done.Wait()
}

// retain stores a copy of b, which holds p after room for the endpoint's number, until its
// endpoint is known. It returns false if nobody can be asked.
func (a *flowAsker) retain(p *carawaycart.Packet, b []byte, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if q := a.questions[p.Key]; q != nil {
		if len(q.retained) < maxPacketsPerQuestion { // callers send others again
			q.retained = append(q.retained, slices.Clone(b))
		}
		return true
	}
	if len(a.questions) >= maxQuestions {
		return false
	}
	holders := a.disseminator.holders(&p.Key, askedHolders, a.disseminator.view.State().Instances)
	if len(holders) == 0 {
		return false
	}
	q := &flowQuestion{packet: *p, retained: [][]byte{slices.Clone(b)}, askedAt: now, pending: make(map[carawaycart.InstanceID]carawaycart.Registration)}
	for _, r := range holders {
		q.pending[r.ID] = r
	}
	a.questions[p.Key] = q
	a.counters.FlowsAsked.Inc(1)
	a.ask(q, now)
	if len(a.questions) == 1 {
		select {
		case a.wake <- struct{}{}:
		default:
		}
	}
	return true
}

// ask sends the question q to those that have not answered. a.mu must be held.
func (a *flowAsker) ask(q *flowQuestion, now time.Time) {
	q.asks++
	q.dueAt = now.Add(askTimeout)
	to := make([]carawaycart.Registration, 0, len(q.pending))
	for _, r := range q.pending {
		to = append(to, r)
	}
	o := steer.OpenFlow{Key: q.packet.Key, Token: q.packet.Token, Sequence: q.packet.Sequence, Acknowledged: q.packet.Acknowledged}
	a.disseminator.send(&message.DirectoryNews{From: string(a.disseminator.self), Asked: []*message.FlowNotice{newFlowNotice(&o)}}, to)
}

// handleDue asks again, or gives up, for the questions that are due. It returns the time until
// the next one is due, or false if there is none.
func (a *flowAsker) handleDue() (wait time.Duration, waiting bool) {
	now := a.clock.Now()
	var expired []*flowQuestion
	a.mu.Lock()
	for key, q := range a.questions {
		if !now.Before(q.dueAt) {
			if q.asks >= maxAsks || q.unknowing > 0 {
				delete(a.questions, key)
				expired = append(expired, q)
				continue
			}
			a.ask(q, now)
		}
		if left := q.dueAt.Sub(now); !waiting || left < wait {
			wait, waiting = left, true
		}
	}
	a.mu.Unlock()
	for _, q := range expired {
		a.assume(q, "unanswered")
	}
	return wait, waiting
}

// receive applies the answers in update.
func (a *flowAsker) receive(update *message.DirectoryNews) {
	for _, n := range update.GetAnswered() {
		o := toOpenFlow(n)
		a.answer(carawaycart.InstanceID(update.GetFrom()), &o, update.GetRecent())
	}
}

// answer applies what an instance tells of the flow o, whose token is zero if the instance does
// not know it. The instance may have missed flows if recent is set.
func (a *flowAsker) answer(from carawaycart.InstanceID, o *steer.OpenFlow, recent bool) {
	a.mu.Lock()
	q := a.questions[o.Key]
	if q == nil {
		a.mu.Unlock()
		return
	}
	if _, ok := q.pending[from]; !ok {
		a.mu.Unlock()
		return
	}
	delete(q.pending, from)
	unknown := o.Token == 0 || o.Assumed
	if unknown {
		q.unknowing += int(boolToInt(!recent))
		if q.assumed == 0 {
			q.assumed = o.Token
		}
		if len(q.pending) > 0 && q.unknowing < enoughUnknowing {
			a.mu.Unlock()
			return
		}
	}
	delete(a.questions, o.Key)
	a.mu.Unlock()
	if unknown {
		a.assume(q, "unknown")
		return
	}
	a.router.RecordOpen(o, a.clock.Now())
	a.send(q, "known")
}

// assume lets the flow of q be open where the token says of the first packet for which an
// instance has asked, and sends its packets there.
func (a *flowAsker) assume(q *flowQuestion, outcome string) {
	p := q.packet
	if q.assumed != 0 {
		p.Token = q.assumed
	}
	a.router.AssumeOpen(&p, a.clock.Now())
	a.send(q, outcome)
}

// send sends the packets of q, and logs the outcome of the question.
func (a *flowAsker) send(q *flowQuestion, outcome string) {
	a.sending.Lock()
	defer a.sending.Unlock()
	for _, b := range q.retained {
		if data, to, ok := a.translator.Translate(b); ok {
			a.write(q, data, to)
		}
	}
	a.log.Event("flowAsked").Flow(&q.packet.Key).Int("token", int64(q.packet.Token)).Text("outcome", outcome).Int("unanswered", int64(len(q.pending))).
		Int("packets", int64(len(q.retained))).Millis("waitedMs", a.clock.Now().Sub(q.askedAt)).End()
}

func (a *flowAsker) write(q *flowQuestion, data []byte, to netip.AddrPort) {
	if _, err := a.conn.WriteToUDPAddrPort(data, to); err != nil {
		a.log.Event("dispatchFailed").Flow(&q.packet.Key).Err(err).End()
	}
}

// answerFlows answers the questions in update to the peer at from.
func (d *Disseminator) answerFlows(update *message.DirectoryNews, from netip.AddrPort) {
	now := d.clock.Now()
	recent := !d.firstStart.Load() && now.Sub(d.startedAt) < steer.MaxFlowAge
	reply := &message.DirectoryNews{From: string(d.self), Recent: recent}
	for _, n := range update.GetAsked() {
		o := toOpenFlow(n)
		if found, ok := d.router.FindOpen(&o, now); ok {
			o = found
		} else {
			d.router.RecordAssumed(&o, now)
			o.Token = 0
		}
		reply.Answered = append(reply.Answered, newFlowNotice(&o))
	}
	d.send(reply, []carawaycart.Registration{{ID: carawaycart.InstanceID(update.GetFrom()), PeerAddress: from}})
}
