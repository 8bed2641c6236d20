package steer

// Candidate is the state of an endpoint on which the placement of a new flow depends.
type Candidate struct {
	Outstanding int  // requests and first packets without an answer
	Open        int  // open flows
	Slots       int  // requests that it processes concurrently
	SameZone    bool // whether it is in the zone of the instance
	Avoided     bool // whether a packet to it was unanswered recently
	Silent      bool // whether it answers neither packets nor probes
	Failing     bool // whether it leaves too many requests unanswered
	Tried       bool // whether the first packet of this flow was sent to it before
	Lapsed      bool // whether its entry is temporarily missing
	Cold        bool // whether it is cold or still warming up
	Full        bool // whether it is cold and at its limit of new flows
}

// Weights of the terms of a candidate's cost, in outstanding requests per slot.
const (
	openWeight   = 0.08 // an open flow, which sends a request from time to time
	remoteWeight = 0.6  // another zone: traffic between zones has a cost
	coldWeight   = 0.5  // a cold endpoint, which is slower than others
	failWeight   = 4    // a failing endpoint: losing part of the requests is as bad as a queue of this length
)

// cost returns the cost of placing a new flow at c; lower is better.
func (c *Candidate) cost() float64 {
	cost := (float64(c.Outstanding) + openWeight*float64(c.Open)) / float64(max(c.Slots, 1))
	if !c.SameZone {
		cost += remoteWeight
	}
	if c.Cold {
		cost += coldWeight
	}
	if c.Failing {
		cost += failWeight
	}
	return cost
}

// tier returns the tier of c. A lower tier is preferred regardless of cost.
func (c *Candidate) tier() int {
	switch {
	case c.Full, c.Silent:
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

// Choose returns the index of the candidate that gets a new flow, or -1 if there is
// none. Silent candidates are excluded: refusing a flow immediately is better than
// leaving it unanswered, and probes detect when an endpoint answers again. Ties are
// broken by randomIntN, which returns a random number in [0, n) for its argument n.
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
