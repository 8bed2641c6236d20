package share

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"carawaycart"
	"carawaycart/internal/rendezvous"
)

// MinLoad is added to the load of each instance, so that an idle one gets permits too.
const MinLoad = 0.1

// Member is an instance that sends requests to the endpoints of a service.
type Member struct {
	ID   carawaycart.InstanceID
	Load float64 // request slots that the callers of the instance need, on average
}

// Endpoint is an endpoint with the number of requests that all instances together may have in
// progress there.
type Endpoint struct {
	ID      carawaycart.EndpointID
	Zone    carawaycart.ZoneID
	Permits int
}

// Input is the data from which Allocate computes the permits of one instance.
type Input struct {
	Self      carawaycart.InstanceID
	Zone      carawaycart.ZoneID             // of Self
	Members   []Member                       // instances of Zone, including Self
	Zones     map[carawaycart.ZoneID]float64 // load of each other zone, including MinLoad for each of its members
	Endpoints []Endpoint                     // endpoints that take new flows
}

// permit is one permit for the endpoint at an index of Input.Endpoints.
type permit struct {
	endpoint int
	order    uint64 // permits are dealt out in this order
	key      rendezvous.Key
}

// zoneShare is the part of the permits that a zone is entitled to.
type zoneShare struct {
	zone    carawaycart.ZoneID
	permits []permit // of its own endpoints, in the order in which they are dealt out
	due     float64  // number of permits that the zone is entitled to
}

// shareSteps is the number of steps in which a zone gives permits to others. The loads of zones
// vary, and each change of the number moves permits.
const shareSteps = 8

// own returns the number of permits of its own endpoints that the zone uses.
func (s *zoneShare) own() int {
	n := float64(len(s.permits))
	if n == 0 {
		return 0
	}
	return int(math.Round(min(math.Ceil(s.due/n*shareSteps)/shareSteps*n, n)))
}

// missing returns the number of permits that the zone needs of other zones.
func (s *zoneShare) missing() float64 { return max(s.due-float64(len(s.permits)), 0) }

// Allocate returns the permits of in.Self by endpoint. Each zone is entitled to a part of all
// permits in proportion to its load. It uses those of its own endpoints first, and what is
// left of them goes to the zones that need more. Within a zone, all members get equal numbers,
// since the fabric spreads flows evenly over the instances of a zone.
//
// Each permit goes to the zone or member with the highest rendezvous hash that has not got its
// number yet. Instances that know different endpoints or members, as during a release, thus
// agree on most permits; with intervals of a common order, a fifth of them had another holder
// after each change.
func Allocate(in *Input) map[carawaycart.EndpointID]int {
	allocated := make(map[carawaycart.EndpointID]int)
	zones := zoneShares(in)
	var spare, permits []permit
	missing := 0.0
	for i := range zones {
		z := &zones[i]
		if z.zone == in.Zone {
			permits = append(permits, z.permits[:z.own()]...)
		}
		spare = append(spare, z.permits[z.own():]...)
		missing += z.missing()
	}
	if missing > 0 {
		permits = append(permits, foreign(in.Zone, zones, spare, missing)...)
	}
	if len(in.Members) == 0 {
		return allocated
	}
	names, limits := make([]rendezvous.Name, len(in.Members)), make([]int, len(in.Members))
	for i, m := range in.Members {
		names[i] = rendezvous.NewName(string(m.ID))
		limits[i] = len(permits) / len(in.Members)
	}
	deal(permits, names, limits, len(permits)%len(in.Members), func(p *permit, holder int) {
		if in.Members[holder].ID == in.Self {
			allocated[in.Endpoints[p.endpoint].ID]++
		}
	})
	return allocated
}

// foreign returns those of the spare permits of all zones that zone gets. The zones need the
// given number of permits in total.
func foreign(zone carawaycart.ZoneID, zones []zoneShare, spare []permit, missing float64) []permit {
	names, limits := make([]rendezvous.Name, len(zones)), make([]int, len(zones))
	for i := range zones {
		names[i] = rendezvous.NewName(string(zones[i].zone))
		limits[i] = int(math.Ceil(zones[i].missing() * float64(len(spare)) / missing))
	}
	sortPermits(spare)
	var own []permit
	deal(spare, names, limits, 0, func(p *permit, holder int) {
		if zones[holder].zone == zone {
			own = append(own, *p)
		}
	})
	return own
}

// deal assigns each permit to the holder with the highest rendezvous hash that has fewer than
// its limit, and calls assign with the index of the holder. As many holders as extra tells get
// one more than their limit.
func deal(permits []permit, names []rendezvous.Name, limits []int, extra int, assign func(p *permit, holder int)) {
	for i := range permits {
		p := &permits[i]
		best, bestScore := -1, uint64(0)
		for j, name := range names {
			if limits[j] == 0 && extra == 0 || limits[j] < 0 {
				continue
			}
			if score := rendezvous.Score(name, p.key); best < 0 || score > bestScore {
				best, bestScore = j, score
			}
		}
		if best < 0 {
			return
		}
		if limits[best] == 0 {
			extra--
		}
		limits[best]--
		assign(p, best)
	}
}

// sortPermits sorts permits in the order in which they are dealt out.
func sortPermits(permits []permit) {
	slices.SortFunc(permits, func(a, b permit) int { return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.key, b.key)) })
}

// zoneShares returns the zones that have reported a load, ordered by ID. One that has not is
// probably cut off, and its endpoints cannot be reached.
func zoneShares(in *Input) []zoneShare {
	loads := make(map[carawaycart.ZoneID]float64, len(in.Zones)+1)
	total := 0.0
	for z, load := range in.Zones {
		loads[z] = max(load, 0)
	}
	loads[in.Zone] = 0
	for _, m := range in.Members {
		loads[in.Zone] += max(m.Load, 0) + MinLoad
	}
	orderName := rendezvous.NewName("")
	permits := make(map[carawaycart.ZoneID][]permit)
	count := 0
	for i, e := range in.Endpoints {
		if _, ok := loads[e.Zone]; !ok {
			continue
		}
		for ordinal := range e.Permits {
			key := rendezvous.NewKey(string(e.ID) + "/" + strconv.Itoa(ordinal))
			permits[e.Zone] = append(permits[e.Zone], permit{endpoint: i, order: rendezvous.Score(orderName, key), key: key})
			count++
		}
	}
	zones := make([]zoneShare, 0, len(loads))
	for z := range loads {
		zones = append(zones, zoneShare{zone: z, permits: permits[z]})
	}
	// The sum of floating-point numbers depends on their order, which has to be the same on
	// all instances.
	slices.SortFunc(zones, func(a, b zoneShare) int { return cmp.Compare(a.zone, b.zone) })
	for i := range zones {
		total += loads[zones[i].zone]
	}
	for i := range zones {
		z := &zones[i]
		if total > 0 {
			z.due = float64(count) * loads[z.zone] / total
		}
		sortPermits(z.permits)
	}
	return zones
}
