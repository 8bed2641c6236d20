package steer

import (
	"sync"
	"time"

	"carawaycart"
)

const (
	// MaxFlowAge exceeds the 60 s for which flows may last on the platform.
	MaxFlowAge = 70 * time.Second
	// maxContested limits the open flows that are retained in a contestedFlows.
	maxContested = 1 << 16
)

// OpenFlow tells at which endpoint a flow is open.
type OpenFlow struct {
	Key          carawaycart.FlowKey
	Token        carawaycart.Token // of the endpoint's lifetime; zero if it is not known
	Sequence     uint32            // highest sequence number from the caller
	Acknowledged uint32            // highest acknowledgement number from the caller
	Shared       bool              // whether another instance may have received the first packet too
	Assumed      bool              // whether Token is only that of a packet, and nobody has seen the flow open
}

// isNear reports whether the numbers of o and other may be of the same flow.
func (o *OpenFlow) isNear(other *OpenFlow) bool {
	return areNear(o.Sequence, other.Sequence) && areNear(o.Acknowledged, other.Acknowledged)
}

// contestedFlows holds the endpoints at which flows are open whose first packets several
// endpoints may have received, as seen here or told by peers. Unlike a flow, an entry stays for
// as long as a flow may last, whether or not it is idle, and is no evidence of anything else. It
// is safe for concurrent use.
type contestedFlows struct {
	mu    sync.Mutex
	flows map[flowID]contestedFlow
	order []contestedFlow // as added, by expiry
}

type contestedFlow struct {
	OpenFlow
	expiresAt time.Time
}

func newContestedFlows() *contestedFlows {
	return &contestedFlows{flows: make(map[flowID]contestedFlow)}
}

// add records o at now. An earlier record of the same flow is kept, unless it was assumed: later
// acknowledgements may carry the token of an endpoint that answered late.
func (c *contestedFlows) add(o *OpenFlow, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := newFlowID(&o.Key)
	if known, ok := c.flows[id]; ok && now.Before(known.expiresAt) && known.isNear(o) && (o.Assumed || !known.Assumed) {
		return
	}
	added := contestedFlow{*o, now.Add(MaxFlowAge)}
	c.flows[id] = added
	c.order = append(c.order, added)
	expired := 0
	for expired < len(c.order) && (len(c.order)-expired > maxContested || !now.Before(c.order[expired].expiresAt)) {
		oldest := c.order[expired]
		if id := newFlowID(&oldest.Key); c.flows[id].expiresAt.Equal(oldest.expiresAt) {
			delete(c.flows, id)
		}
		expired++
	}
	c.order = c.order[expired:]
}

// move records o at now, in place of an earlier record of the same flow.
func (c *contestedFlows) move(o *OpenFlow, now time.Time) {
	c.add(o, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	id := newFlowID(&o.Key)
	if known, ok := c.flows[id]; ok {
		known.Token, known.Assumed = o.Token, false
		c.flows[id] = known
	}
}

// get returns the record at now of the flow of o, of which the key and the numbers are set. It
// returns false if there is none.
func (c *contestedFlows) get(o *OpenFlow, now time.Time) (OpenFlow, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.flows[newFlowID(&o.Key)]
	if !ok || !now.Before(known.expiresAt) || !known.isNear(o) {
		return OpenFlow{}, false
	}
	return known.OpenFlow, true
}

// all returns all records at now but those that were assumed.
func (c *contestedFlows) all(now time.Time) []OpenFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []OpenFlow
	for i := range c.flows {
		if f := c.flows[i]; now.Before(f.expiresAt) && !f.Assumed {
			all = append(all, f.OpenFlow)
		}
	}
	return all
}

// isContested reports at now, when the flow opens, whether several endpoints may have received
// its first packet. A caller that has waited long enough may have sent a copy, which may have
// come to another instance.
func (f *flow) isContested(now time.Time) bool {
	return f.contested || f.shared || now.Sub(f.openedAt) >= minResendInterval
}

// newOpenFlow returns what p, a packet other than the first one, tells of its flow, without the
// endpoint.
func newOpenFlow(p *carawaycart.Packet) OpenFlow {
	return OpenFlow{Key: p.Key, Sequence: p.Sequence, Acknowledged: p.Acknowledged}
}

// ownerOf returns the endpoint to which t has assigned token, or nil. The token is provisional
// if it was written into a first packet, which other endpoints may have received too: the caller
// repeats that of the last one that has answered, and the flow may be open at another.
func (t *Table) ownerOf(token carawaycart.Token) (owner *endpoint, provisional bool) {
	if e := t.byToken[token]; e != nil {
		return e, false
	}
	if e := t.byToken[token^provisionalBit]; e != nil {
		return e, true
	}
	return nil, false
}

// settle returns the endpoint at which the flow id of p is open, where owner is the one that its
// provisional token names. It returns nil if t lacks that lifetime, and false if neither this
// instance nor what peers have told shows whether the flow is open at owner.
func (r *Router) settle(t *Table, id flowID, p *carawaycart.Packet, owner *endpoint, now time.Time) (*endpoint, bool) {
	s := r.flows.lockShard(id)
	f := s.flows[id]
	own := f != nil && f.isOwn(p)
	first := f != nil && !f.told && f.phase != phaseOpen && areNear(p.Sequence, f.sequence) && (f.isHandshake(p) && !f.shared || !f.isContested(now))
	s.mu.Unlock()
	if own {
		return owner, true // the record decides; see openEndpoint
	}
	flow := newOpenFlow(p)
	known, ok := r.contested.get(&flow, now)
	if !ok || known.Assumed {
		return owner, first
	}
	e, _ := t.ownerOf(known.Token)
	if e != nil && e != owner {
		r.observer.OtherToken(p, e.lifetime.ID, e.lifetime.ID)
	}
	return e, true
}

// RecordOpen records at now that a peer has seen the flow o open. Copies of its first packet
// that reach this instance later then do not reset it, and its packets go to the endpoint of o
// whichever provisional token they carry. A record of this instance takes precedence, and data
// replaces the one of the first packet that is made here.
func (r *Router) RecordOpen(o *OpenFlow, now time.Time) {
	t := r.table.Load()
	if !t.HasConfig() {
		return
	}
	r.contested.add(o, now)
	e, _ := t.ownerOf(o.Token)
	if e == nil {
		return
	}
	id := newFlowID(&o.Key)
	s := r.flows.lockShard(id)
	defer s.mu.Unlock()
	if s.flows[id] != nil {
		return
	}
	s.insert(id, &flow{
		endpoint: e, openedAt: now, lastSeen: now, phase: phaseOpen, told: true, sequence: o.Sequence, acknowledged: o.Acknowledged,
	}, now)
}

// AssumeOpen records at now that the flow of p is open at the endpoint that its provisional
// token names, as nobody knows of another, and lets the observer tell peers. It returns the
// endpoint, or an empty ID if the token is unknown.
func (r *Router) AssumeOpen(p *carawaycart.Packet, now time.Time) carawaycart.EndpointID {
	t := r.table.Load()
	if t == nil {
		return ""
	}
	e, _ := t.ownerOf(p.Token)
	if e == nil {
		return ""
	}
	o := newOpenFlow(p)
	o.Token = e.token
	r.contested.add(&o, now)
	r.observer.ContestedFlowOpened(&o)
	return e.lifetime.ID
}

// RecordAssumed records at now that a peer asks for the flow o, whose packet has the token in o.
// If nobody knows the flow, peers that ask later are to assume the same endpoint, since the
// handshake comes before any packet whose token a late answer has changed.
func (r *Router) RecordAssumed(o *OpenFlow, now time.Time) {
	assumed := *o
	assumed.Assumed = true
	r.contested.add(&assumed, now)
}

// FindOpen returns the record of this instance of the flow of o, of which the key and the
// numbers are set. It returns false if the instance does not know at which endpoint it is open.
func (r *Router) FindOpen(o *OpenFlow, now time.Time) (OpenFlow, bool) {
	id := newFlowID(&o.Key)
	s := r.flows.lockShard(id)
	f := s.flows[id]
	if f != nil && f.openSeen && areNear(f.sequence, o.Sequence) && areNear(f.acknowledged, o.Acknowledged) {
		found := *o
		found.Token = f.endpoint.token
		s.mu.Unlock()
		return found, true
	}
	s.mu.Unlock()
	return r.contested.get(o, now)
}

// ContestedFlows returns the open flows at now whose endpoint may not be the one that their
// packets name, to be handed over before the instance stops.
func (r *Router) ContestedFlows(now time.Time) []OpenFlow { return r.contested.all(now) }

// decideTold returns the decision for p, the first packet of a flow that a peer has seen open
// and whose record is f. The flow may have ended since, so that the endpoint gets p only if
// it may get any number of new flows.
func (r *Router) decideTold(t *Table, via *route, f *flow, p *carawaycart.Packet, now time.Time) carawaycart.Decision {
	for i := range via.targets {
		if e := via.targets[i].warmEndpoint(f.endpoint, r.zone, now); e != nil {
			return forwardFirst(e)
		}
	}
	return r.refuse(p, carawaycart.CauseCold, false, t.Revision)
}
