package routertest

import (
	"testing"
	"time"

	"carawaycart"
)

// Fleet is a set of instances with their routers, behind a fabric that may deliver
// any packet to any of them. Instances are numbered from zero.
type Fleet interface {
	// Instances returns the number of instances.
	Instances() int
	// OpenFlow sends the first packet of flow number flow to the given instance and
	// returns the decision, which is that of another instance if the first one
	// relays the packet.
	OpenFlow(instance, flow int, now time.Time) carawaycart.Decision
	// SendPacket sends a further packet of a flow, which OpenFlow opened with
	// decision d, to the given instance, and returns the decision as OpenFlow does.
	SendPacket(instance, flow int, d carawaycart.Decision, now time.Time) carawaycart.Decision
	// OpenToUnknownService sends the first packet of a flow whose destination address
	// belongs to no service to the given instance, and returns the decision.
	OpenToUnknownService(instance int, now time.Time) carawaycart.Decision
	// MarkLeaving marks endpoint e as leaving and lets all instances receive the
	// change.
	MarkLeaving(e carawaycart.EndpointID, now time.Time)
	// Restart restarts an instance, which loses its local state.
	Restart(instance int, now time.Time)
}

// flowCount is the number of flows that openFlows opens.
const flowCount = 120

// Run runs the conformance tests. The function newFleet returns a fleet of the
// given numbers of instances and endpoints, whose endpoints are not cold.
func Run(t *testing.T, newFleet func(t *testing.T, instances, endpoints int) Fleet) {
	start := time.Unix(1000, 0)
	// Packets must reach the owner of their flow through every instance, not only
	// through the one that opened the flow.
	t.Run("EveryInstanceForwardsToOwner", func(t *testing.T) {
		f := newFleet(t, 5, 6)
		checkOwners(t, f, openFlows(t, f, start), start.Add(time.Second))
	})
	t.Run("UnknownServiceIsNotForwarded", func(t *testing.T) {
		f := newFleet(t, 2, 3)
		for i := range f.Instances() {
			if d := f.OpenToUnknownService(i, start); d.Verdict == carawaycart.VerdictForward {
				t.Errorf("instance %d: got a flow to an address of no service forwarded to %s, want it not forwarded", i, d.Endpoint)
			}
		}
	})
	t.Run("LeavingEndpointKeepsFlowsAndGetsNoNewOnes", func(t *testing.T) {
		f := newFleet(t, 5, 6)
		owners := openFlows(t, f, start)
		leaving := owners[0].Endpoint
		now := start.Add(time.Second)
		f.MarkLeaving(leaving, now)
		now = now.Add(5 * time.Second)
		checkOwners(t, f, owners, now)
		for i := range flowCount {
			if d := f.OpenFlow(i%f.Instances(), flowCount+i, now); d.Endpoint == leaving {
				t.Fatalf("flow %d: got a new flow forwarded to %s, which is leaving", flowCount+i, leaving)
			}
		}
	})
	// The owners of flows must not be stored only in the instance that opened them.
	t.Run("InstanceRestartLosesNoFlow", func(t *testing.T) {
		f := newFleet(t, 5, 6)
		owners := openFlows(t, f, start)
		now := start.Add(time.Second)
		f.Restart(0, now)
		checkOwners(t, f, owners, now.Add(time.Second))
	})
}

// openFlows opens flowCount flows through all instances in turn, and returns the
// decisions. The endpoint of a decision is the owner of its flow.
func openFlows(t *testing.T, f Fleet, now time.Time) []carawaycart.Decision {
	t.Helper()
	owners := make([]carawaycart.Decision, flowCount)
	for i := range owners {
		owners[i] = f.OpenFlow(i%f.Instances(), i, now)
		if owners[i].Verdict != carawaycart.VerdictForward {
			t.Fatalf("flow %d: got verdict %d with cause %s, want it forwarded", i, owners[i].Verdict, owners[i].Cause)
		}
	}
	return owners
}

// checkOwners sends a packet of each flow through every instance and checks that
// it is forwarded to the owner of the flow.
func checkOwners(t *testing.T, f Fleet, owners []carawaycart.Decision, now time.Time) {
	t.Helper()
	for i, want := range owners {
		for instance := range f.Instances() {
			d := f.SendPacket(instance, i, want, now)
			if d.Verdict != carawaycart.VerdictForward || d.Endpoint != want.Endpoint {
				t.Fatalf("flow %d through instance %d: got verdict %d, endpoint %q and cause %s, want it forwarded to its owner %s",
					i, instance, d.Verdict, d.Endpoint, d.Cause, want.Endpoint)
			}
		}
	}
}
