package rejection

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"carawaycart"
)

const (
	// halfLife is that of the counts that are compared. With 4 s, endpoints that reject 30% of
	// 10 requests per second are found 0.7 s later, since earlier responses dilute the fraction.
	halfLife      = 2 * time.Second
	usualHalfLife = 60 * time.Second // half-life of the counts of what is usual
	decayPeriod   = 20 * time.Millisecond

	minFraction = 0.1 // fraction of short responses below which an endpoint is not rejecting
	minRatio    = 3   // of its fraction to that of the service
	minShort    = 4   // decayed count of short responses below which an endpoint is not rejecting
	// minEvidence is the logarithm of the likelihood ratio above which a fraction of short
	// responses is not due to chance.
	minEvidence = 7
	// minUsualFraction is assumed as the fraction of the service if it is lower, since a
	// fraction of zero cannot be told from a small one.
	minUsualFraction = 0.01
	// usualQuantile is the part of the endpoints that is taken not to reject more than usual.
	usualQuantile = 0.65
	// shareBias is added to the responses of each endpoint, so that the share of one with few
	// responses is not underestimated by chance.
	shareBias = 6

	// avoidancePeriod is the time for which a rejecting endpoint is avoided before instances
	// try it again, one after the other within staggerPeriod, so that few requests are lost
	// if it still rejects. Together they stay below the 8 s within which a recovery has to be
	// noticed.
	avoidancePeriod = 5 * time.Second
	staggerPeriod   = 2 * time.Second
	// answerPeriod is the time after which the requests sent before an avoidance are answered
	// and reported.
	answerPeriod = 2 * time.Second
	// trialPeriod is the time after an avoidance in which minTrialShort and minTrialEvidence
	// suffice.
	trialPeriod      = 6 * time.Second
	minTrialShort    = 1.6
	minTrialEvidence = 3

	// maxPeerShort limits the short responses of one endpoint that are counted from one
	// report of a peer. It is below minShort and minTrialShort, so that a report alone
	// cannot make an endpoint count as rejecting.
	maxPeerShort = 1.5

	// minResponses is the decayed count of own responses, of all endpoints, below which none
	// counts as rejecting, since its share of the responses is not known well enough.
	minResponses = 30

	minRouteResponses = 16        // responses of a route before any counts as short
	shortPart         = 4         // a response is short if it is less than this part of the mean
	meanWeight        = 1. / 256  // weight of a response in the mean of its route
	shortMeanWeight   = 1. / 1024 // weight of a short response: rejections must not lower the mean much
)

// Detector holds the response lengths and the counts of short responses of one service. The
// zero value is ready for use; it is safe for concurrent use.
type Detector struct {
	mu        sync.Mutex
	routes    map[string]*route
	endpoints map[carawaycart.EndpointID]*endpoint
	responses float64 // own responses, decayed with halfLife
	usual     usualCounts
	decayedAt time.Time
	fractions []float64 // buffer that is reused between evaluations
}

// usualCounts counts the own responses and the short ones among them while their endpoints did
// not count as rejecting. They decay with usualHalfLife.
type usualCounts struct{ short, responses float64 }

// add adds a response.
func (c *usualCounts) add(short bool) {
	c.responses++
	c.short += float64(boolToInt(short))
}

// decay multiplies the counts by remaining.
func (c *usualCounts) decay(remaining float64) {
	c.short *= remaining
	c.responses *= remaining
}

// route holds the mean length of the responses of one route, mostly without the short ones.
type route struct {
	mean      float64
	responses int
}

// isShort reports whether a response of the given length is short, and updates the mean.
func (r *route) isShort(bytes int) bool {
	r.responses++
	short := r.responses > minRouteResponses && shortPart*float64(bytes) < r.mean
	weight := max(meanWeight, 1/float64(r.responses))
	if short {
		weight = shortMeanWeight
	}
	r.mean += weight * (float64(bytes) - r.mean)
	return short
}

// endpoint holds the counts of one endpoint.
type endpoint struct {
	short     float64 // short responses in the zone since countedFrom, decayed with halfLife
	responses float64 // own responses, decayed with usualHalfLife
	usual     usualCounts
	// countedFrom is when the trial after the last avoidance began; zero if there was none.
	countedFrom time.Time
	phase       phase
	markedAt    time.Time // when it was last found to reject
}

// phase tells how new requests treat an endpoint.
type phase uint8

const (
	phaseAccepted phase = iota // the instance uses it
	phaseAvoided               // no instance is expected to use it
	phaseTried                 // other instances may use it again, this one does not yet
)

// Peers are the instances that report to each other, including this one.
type Peers struct {
	Count int
	Rank  int // of this instance, from zero
}

// Record records a response of e at now and reports whether it is short. Its length is the
// number of bytes.
func (d *Detector) Record(e carawaycart.EndpointID, routeName string, bytes int, now time.Time) (short bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	if d.routes == nil {
		d.routes = make(map[string]*route)
	}
	r := d.routes[routeName]
	if r == nil {
		r = &route{}
		d.routes[routeName] = r
	}
	short = r.isShort(bytes)
	p := d.endpoint(e)
	p.responses++
	d.responses++
	if p.phase == phaseAccepted {
		d.usual.add(short)
		p.usual.add(short)
	}
	if short {
		p.short++
	}
	return short
}

// RecordPeer records at now the short responses of e in one report of a peer.
func (d *Detector) RecordPeer(e carawaycart.EndpointID, short int, now time.Time) {
	if short <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	d.endpoint(e).short += min(float64(short), maxPeerShort)
}

// endpoint returns the counts of e and adds them if there are none. d.mu must be held.
func (d *Detector) endpoint(e carawaycart.EndpointID) *endpoint {
	if d.endpoints == nil {
		d.endpoints = make(map[carawaycart.EndpointID]*endpoint)
	}
	p := d.endpoints[e]
	if p == nil {
		p = &endpoint{}
		d.endpoints[e] = p
	}
	return p
}

// decay decays the counts to now and removes those that have become negligible. d.mu must be
// held.
func (d *Detector) decay(now time.Time) {
	const negligible = 0.01
	elapsed := now.Sub(d.decayedAt)
	if d.decayedAt.IsZero() || elapsed < decayPeriod {
		if d.decayedAt.IsZero() {
			d.decayedAt = now
		}
		return
	}
	d.decayedAt = now
	fast, slow := remaining(elapsed, halfLife), remaining(elapsed, usualHalfLife)
	d.responses *= fast
	d.usual.decay(slow)
	for id, p := range d.endpoints {
		p.short *= fast
		p.responses *= slow
		p.usual.decay(slow)
		if p.phase == phaseAccepted && p.short < negligible && p.responses < negligible {
			delete(d.endpoints, id)
		}
	}
}

// remaining returns the part of a count that is left after elapsed.
func remaining(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

// Rejecting reports whether e is to be avoided by the last evaluation.
func (d *Detector) Rejecting(e carawaycart.EndpointID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.endpoints[e]
	return p != nil && p.phase != phaseAccepted
}

// Change is an endpoint that has begun or ceased to be rejecting.
type Change struct {
	Endpoint  carawaycart.EndpointID
	Rejecting bool
}

// Evaluate finds the rejecting endpoints at now and returns the changes since the last
// evaluation, ordered by endpoint. At most half of the endpoints are rejecting.
func (d *Detector) Evaluate(peers Peers, now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.decay(now)
	var changes []Change
	total, rejecting := 0.0, 0
	for id, p := range d.endpoints {
		if p.advance(id, peers, now) {
			changes = append(changes, Change{Endpoint: id})
		}
		rejecting += boolToInt(p.phase != phaseAccepted)
		total += p.responses + shareBias
	}
	perShare := d.responses * float64(max(peers.Count, 1)) / max(total, 1) // responses in the zone
	present := d.presentFraction(perShare, now)
	for id, p := range d.endpoints {
		if p.phase == phaseAvoided || d.usual.responses < minResponses || !d.exceeds(p, present, p.exposure(perShare, now), now) {
			continue
		}
		if p.phase == phaseAccepted {
			if 2*(rejecting+1) > len(d.endpoints) {
				continue
			}
			rejecting++
			changes = append(changes, Change{Endpoint: id, Rejecting: true})
		}
		p.phase, p.markedAt = phaseAvoided, now
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return changes
}

// advance begins the trial of p, the endpoint id, and ends its avoidance when each is due at now.
// It reports whether the avoidance has ended.
func (p *endpoint) advance(id carawaycart.EndpointID, peers Peers, now time.Time) bool {
	if p.phase == phaseAvoided {
		avoided := now.Sub(p.markedAt)
		if avoided < answerPeriod {
			p.short = 0 // of requests that were sent before
		}
		// A short response shows that another instance has begun the trial.
		if avoided >= avoidancePeriod || p.short > 0 {
			p.phase, p.countedFrom = phaseTried, now
		}
	}
	if p.phase != phaseTried {
		return false
	}
	// The endpoint determines who tries it first, so that it is not always the same instance.
	n := uint64(max(peers.Count, 1))
	turn := (xxhash.Sum64String(string(id)) + uint64(max(peers.Rank, 0))) % n
	if now.Sub(p.countedFrom) < time.Duration(turn)*staggerPeriod/time.Duration(n) {
		return false
	}
	p.phase = phaseAccepted
	return true
}

// exposure returns the estimated number of responses of p in the zone among which p.short were
// counted. In a trial it assumes that all
// instances use p: those that have not found it to reject do, and too low a number would find
// an endpoint to reject again because of the normal short responses that they report.
func (p *endpoint) exposure(perShare float64, now time.Time) float64 {
	n := perShare * (p.responses + shareBias)
	if !p.countedFrom.IsZero() {
		n *= 1 - remaining(now.Sub(p.countedFrom), halfLife)
	}
	return max(n, p.short)
}

// presentFraction returns the present fraction of short responses that usualQuantile of the
// endpoints do not exceed. It follows an overload; the past fraction has less noise. d.mu must be held.
func (d *Detector) presentFraction(perShare float64, now time.Time) float64 {
	d.fractions = d.fractions[:0]
	for _, p := range d.endpoints {
		if n := p.exposure(perShare, now); p.phase == phaseAccepted && n > 0 {
			d.fractions = append(d.fractions, p.short/n)
		}
	}
	if len(d.fractions) == 0 {
		return 0
	}
	slices.Sort(d.fractions)
	return d.fractions[int(usualQuantile*float64(len(d.fractions)))]
}

// exceeds reports whether p has too many short responses among n, if present is the present
// fraction of the other endpoints. d.mu must be held.
func (d *Detector) exceeds(p *endpoint, present, n float64, now time.Time) bool {
	past := max(0, d.usual.short-p.usual.short) / max(d.usual.responses-p.usual.responses, 1)
	usual := max(minUsualFraction, past, present)
	leastShort, leastEvidence := float64(minShort), float64(minEvidence)
	if !p.countedFrom.IsZero() && now.Sub(p.countedFrom) < trialPeriod {
		leastShort, leastEvidence = minTrialShort, minTrialEvidence
	}
	if p.short < leastShort || n <= 0 {
		return false
	}
	f := p.short / n
	return f >= minFraction && f > minRatio*usual && n*divergence(f, usual) >= leastEvidence
}

// divergence returns the Kullback-Leibler divergence of a fraction f from g, which bounds the
// probability of f by chance (Chernoff).
func divergence(f, g float64) float64 {
	sum := f * math.Log(f/g)
	if f < 1 {
		sum += (1 - f) * math.Log((1-f)/(1-g))
	}
	return sum
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
