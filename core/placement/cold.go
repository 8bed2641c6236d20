package placement

import (
	"slices"
	"time"
)

// coldWindow is the time over which the platform counts the new flows of a cold
// endpoint.
const coldWindow = time.Second

// coldMargin extends coldWindow, because varying network delays can make flows arrive
// closer together than they were forwarded.
const coldMargin = 150 * time.Millisecond

// coldLimitDivisor divides the rate of new flows that a cold endpoint can bear.
// Instances that know different members of the fleet thus stay within the rate in
// total.
const coldLimitDivisor = 2

// ColdShare is the limit of the new flows that one instance may forward to a cold
// endpoint. The zero value allows none.
type ColdShare struct {
	FlowsPerSecond int  // limit within coldWindow
	HasMaxFlows    bool // whether the profile of the service sets MaxFlows
	MaxFlows       int  // limit for the whole time the endpoint is cold, if HasMaxFlows
}

// NewColdShare returns the share of one instance for an endpoint that can bear limit
// new flows per second from all instances. The shares of all members of the fleet add
// up to limit / coldLimitDivisor, rounded down. The rank of the instance among the
// members, counted from zero, decides which shares are rounded up; a negative rank
// gets none.
func NewColdShare(limit float64, members, rank int) ColdShare {
	total := int(limit / coldLimitDivisor)
	if members <= 0 || total <= 0 || rank < 0 {
		return ColdShare{}
	}
	return ColdShare{FlowsPerSecond: MemberShare(total, members, rank)}
}

// MemberShare returns the part of total that belongs to the member with the given
// rank. The parts of all members add up to total.
func MemberShare(total, members, rank int) int {
	share := total / members
	if rank < total%members {
		share++
	}
	return share
}

// Allows reports whether another flow may be forwarded at now. The argument recent
// holds the times returned by Record, and total is the number of flows that the
// instance has forwarded to the endpoint while it was cold.
func (s ColdShare) Allows(recent []time.Time, total int, now time.Time) bool {
	if s.HasMaxFlows && total >= s.MaxFlows {
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

// Record appends the time of a flow, now, to recent and removes the times that Allows
// no longer counts.
func (s ColdShare) Record(recent []time.Time, now time.Time) []time.Time {
	recent = slices.DeleteFunc(recent, func(t time.Time) bool { return now.Sub(t) >= coldWindow+coldMargin })
	return append(recent, now)
}

// FlowCounter counts the flows that were lately forwarded to an endpoint. The zero value has
// counted none.
type FlowCounter struct {
	windowStart       time.Time
	current, previous int // flows in the window that began at windowStart, and in the one before
}

// Record counts a flow that is forwarded at now.
func (c *FlowCounter) Record(now time.Time) {
	const window = coldWindow + coldMargin
	switch age := now.Sub(c.windowStart); {
	case age >= 2*window:
		*c = FlowCounter{windowStart: now}
	case age >= window:
		*c = FlowCounter{windowStart: c.windowStart.Add(window), previous: c.current}
	}
	c.current++
}

// Recent returns an upper bound of the flows that Allows would count at now.
func (c *FlowCounter) Recent(now time.Time) int {
	const window = coldWindow + coldMargin
	switch age := now.Sub(c.windowStart); {
	case age >= 2*window:
		return 0
	case age >= window:
		return c.current
	}
	return c.current + c.previous
}
