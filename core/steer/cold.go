package steer

import (
	"slices"
	"time"
)

// coldWindow is the span over which the platform counts the flows that a cold
// endpoint is given.
const coldWindow = time.Second

// coldMargin lengthens the window by what delays on the way may shorten it.
const coldMargin = 150 * time.Millisecond

// coldReserve divides what an endpoint bears, so that instances whose views of
// the fleet differ stay within the bound together.
const coldReserve = 2

// ColdShare is how many new flows an instance may give a cold endpoint; the zero
// value allows none.
type ColdShare struct {
	Flows   int  // in any second
	Limited bool // by the service's profile
	Sum     int  // while the endpoint is cold, if Limited
}

// NewColdShare returns the share of an instance that ranks at rank, from zero,
// among the members of the fleet, for an endpoint that bears bound new flows a
// second from all instances.
func NewColdShare(bound float64, members, rank int) ColdShare {
	total := int(bound / coldReserve)
	if members <= 0 || total <= 0 || rank < 0 {
		return ColdShare{}
	}
	return ColdShare{Flows: part(total, members, rank)}
}

// part returns what the member that ranks at rank has of total.
func part(total, members, rank int) int {
	share := total / members
	if rank < total%members {
		share++
	}
	return share
}

// Allows reports whether another flow may be given at now, after those at taken,
// and sum in all while the endpoint was cold.
func (s ColdShare) Allows(taken []time.Time, sum int, now time.Time) bool {
	if s.Limited && sum >= s.Sum {
		return false
	}
	recent := 0
	for _, t := range taken {
		if now.Sub(t) < coldWindow+coldMargin {
			recent++
		}
	}
	return recent < s.Flows
}

// Note returns taken with now added and what no longer counts removed.
func (s ColdShare) Note(taken []time.Time, now time.Time) []time.Time {
	taken = slices.DeleteFunc(taken, func(t time.Time) bool { return now.Sub(t) >= coldWindow+coldMargin })
	return append(taken, now)
}
