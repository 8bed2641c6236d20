package placement

// Candidate is the state of an endpoint that decides whether it gets a new flow.
type Candidate struct {
	Outstanding  int  // number of requests and first packets that wait for an answer
	Open         int  // number of open flows
	RequestSlots int  // number of requests that it processes concurrently
	SameZone     bool // whether it is in the zone of the instance that places the flow
	// Avoided reports whether packets to it were unanswered lately. After a time, it
	// is avoided only while a first packet to it waits for an answer.
	Avoided     bool
	Silent      bool // whether it answers neither packets nor probes
	Failing     bool // whether it recently left too many requests unanswered
	Tried       bool // whether the first packet of this flow was sent to it before
	Lapsed      bool // whether its entry is absent from the store, which does not yet prove that it ended
	Cold        bool // whether it is cold, or warming up after that
	AtColdLimit bool // whether it is cold and has got its share of new flows from this instance
	// NoPermit reports whether the instance has used its permits for the endpoint. It is false
	// if the permits of the service are not shared out.
	NoPermit  bool
	Saturated bool // whether all request slots of the service are in use
	// Slowness is how many times longer than the mean of its service the endpoint takes for a
	// request. It is zero if it is unknown or the permits of the service are not shared out.
	Slowness float64
}

// Weights of the terms of a candidate's cost. The unit of cost is one outstanding
// request per request slot.
const (
	openWeight    = 0.08 // for each open flow per request slot, since it sends a request from time to time
	remoteWeight  = 0.6  // for an endpoint in another zone, since traffic between zones has a cost
	coldWeight    = 0.5  // for a cold endpoint, which is slower than others
	failingWeight = 4    // for a failing endpoint: losing part of the requests is as bad as a queue of this length
	// noPermitWeight exceeds the cost of an endpoint with a free permit: requests of other
	// instances, which this one does not see, are likely to use the slots.
	noPermitWeight = 2
	// saturatedWeight exceeds all other costs of an endpoint: while a service is saturated,
	// the slots of an endpoint without a permit are in use.
	saturatedWeight = 100
)

// cost returns the cost of placing a new flow at c; lower is better.
func (c *Candidate) cost() float64 {
	cost := (float64(c.Outstanding) + openWeight*float64(c.Open)) / float64(max(c.RequestSlots, 1))
	if !c.SameZone {
		cost += remoteWeight
	}
	if c.Cold {
		cost += coldWeight
	}
	if c.Failing {
		cost += failingWeight
	}
	switch {
	case c.NoPermit && c.Saturated:
		cost += saturatedWeight
	case c.NoPermit:
		cost += noPermitWeight
	}
	if c.Slowness > 1 {
		cost += (c.Slowness - 1) * float64(c.Outstanding+1) / float64(max(c.RequestSlots, 1))
	}
	return cost
}

// IsUsable reports whether c may be the endpoint of a queued flow.
func (c *Candidate) IsUsable() bool { return !c.Failing && c.tier() != tierExcluded }

// tier returns the tier of c. Candidates of a lower tier are preferred, whatever their
// cost.
func (c *Candidate) tier() int {
	switch {
	case c.AtColdLimit, c.Silent:
		return tierExcluded
	case c.Tried:
		return tierTried
	case c.Avoided && c.Lapsed:
		return tierAvoidedLapsed
	case c.Avoided:
		return tierAvoided
	case c.Lapsed:
		return tierLapsed
	}
	return tierPreferred
}

// Tiers of candidates, the preferred ones first. Those of tierExcluded get no new
// flows.
const (
	tierPreferred = iota
	tierLapsed
	tierAvoided
	tierAvoidedLapsed
	tierTried
	tierExcluded
)

// Choose returns the index of the candidate that gets a new flow: the one with the
// lowest cost in the lowest tier, or -1 if all are excluded. Silent candidates are
// excluded, since refusing a flow immediately is better than leaving it unanswered,
// and probes detect when an endpoint answers again. Ties are broken by randomIntN,
// which returns a random number in [0, n) for its argument n.
func Choose(candidates []Candidate, randomIntN func(int) int) int {
	best, bestTier, bestCost, ties := -1, tierExcluded, 0.0, 0
	for i := range candidates {
		c := &candidates[i]
		tier := c.tier()
		if tier == tierExcluded || tier > bestTier {
			continue
		}
		cost := c.cost()
		switch {
		case best < 0 || tier < bestTier || cost < bestCost:
			best, bestTier, bestCost, ties = i, tier, cost, 1
		case cost == bestCost:
			ties++
			if randomIntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}
