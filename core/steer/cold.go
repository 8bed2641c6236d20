package steer

import (
	"slices"
	"time"
)

// coldWindow is the time over which the platform counts the new flows of a cold
// endpoint.
const coldWindow = time.Second

// coldMargin extends coldWindow, because varying network delays can move flows
// closer together.
const coldMargin = 150 * time.Millisecond

// coldReserve divides the rate that an endpoint can bear, so that instances whose
// views of the fleet differ stay within the bound in total.
const coldReserve = 2

// ColdShare limits the new flows that an instance may forward to a cold endpoint.
// The zero value allows none.
type ColdShare struct {
	FlowsPerSecond int  // limit within any second
	Limited        bool // whether the profile of the service sets MaxFlows
	MaxFlows       int  // limit for the whole time the endpoint is cold, if Limited
}

// NewColdShare returns the share of the instance with the given rank, counted from
// zero, among the members of the fleet, for an endpoint that can bear bound new
// flows per second from all instances.
func NewColdShare(bound float64, members, rank int) ColdShare {
	total := int(bound / coldReserve)
	if members <= 0 || total <= 0 || rank < 0 {
		return ColdShare{}
	}
	return ColdShare{FlowsPerSecond: memberShare(total, members, rank)}
}

// memberShare returns the part of total that belongs to the member with the given
// rank. The parts of all members add up to total.
func memberShare(total, members, rank int) int {
	share := total / members
	if rank < total%members {
		share++
	}
	return share
}

// Allows reports whether another flow may be forwarded at now. Recent holds the
// times of the latest flows, and total is the number of flows that the endpoint got
// while it was cold.
func (s ColdShare) Allows(recent []time.Time, total int, now time.Time) bool {
	if s.Limited && total >= s.MaxFlows {
		return false
	}
	inWindow := 0
	for _, t := range recent {
		if now.Sub(t) < coldWindow+coldMargin {
			inWindow++
		}
	}
	return inWindow < s.FlowsPerSecond
}

// Record appends now to recent and removes the times that no longer count.
func (s ColdShare) Record(recent []time.Time, now time.Time) []time.Time {
	recent = slices.DeleteFunc(recent, func(t time.Time) bool { return now.Sub(t) >= coldWindow+coldMargin })
	return append(recent, now)
}
