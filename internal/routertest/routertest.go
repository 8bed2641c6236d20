package routertest

import (
	"testing"
	"time"

	"carawaycart"
)

// Fleet is a set of instances with their routers, behind a fabric that may hand
// any packet to any of them.
type Fleet interface {
	// Instances returns how many instances there are.
	Instances() int
	// First opens flow number flow through the given instance, follows a relay,
	// and returns the decision.
	First(instance, flow int, now time.Time) carawaycart.Decision
	// Later sends another packet of a flow that First opened with decision d.
	Later(instance, flow int, d carawaycart.Decision, now time.Time) carawaycart.Decision
	// Unknown opens a flow to an address that nobody serves.
	Unknown(instance int, now time.Time) carawaycart.Decision
	// Drain marks an endpoint as leaving, as all instances learn.
	Drain(e carawaycart.EndpointID, now time.Time)
	// Restart loses what an instance knew of its own.
	Restart(instance int, now time.Time)
}

const flows = 120

// Run checks the promises that every router makes. NewFleet returns a fleet of
// the given sizes whose endpoints are warm.
func Run(t *testing.T, newFleet func(t *testing.T, instances, endpoints int) Fleet) {
	start := time.Unix(1000, 0)
	t.Run("EveryInstanceKnowsTheOwner", func(t *testing.T) {
		f := newFleet(t, 5, 6)
		check(t, f, open(t, f, start), start.Add(time.Second))
	})
	t.Run("UnknownServiceIsNotForwarded", func(t *testing.T) {
		f := newFleet(t, 2, 3)
		for i := range f.Instances() {
			if d := f.Unknown(i, start); d.Verdict == carawaycart.VerdictForward {
				t.Errorf("instance %d: got a flow to nobody's address forwarded to %s", i, d.Endpoint)
			}
		}
	})
	t.Run("LeavingEndpointKeepsItsFlowsAndGetsNoOthers", func(t *testing.T) {
		f := newFleet(t, 5, 6)
		owners := open(t, f, start)
		left := owners[0].Endpoint
		now := start.Add(time.Second)
		f.Drain(left, now)
		now = now.Add(5 * time.Second)
		check(t, f, owners, now)
		for i := range flows {
			if d := f.First(i%f.Instances(), flows+i, now); d.Endpoint == left {
				t.Fatalf("flow %d: got a new flow at %s, which is leaving", flows+i, left)
			}
		}
	})
	t.Run("RestartOfAnInstanceLosesNoFlow", func(t *testing.T) {
		f := newFleet(t, 5, 6)
		owners := open(t, f, start)
		now := start.Add(time.Second)
		f.Restart(0, now)
		check(t, f, owners, now.Add(time.Second))
	})
}

func open(t *testing.T, f Fleet, now time.Time) []carawaycart.Decision {
	t.Helper()
	owners := make([]carawaycart.Decision, flows)
	for i := range owners {
		owners[i] = f.First(i%f.Instances(), i, now)
		if owners[i].Verdict != carawaycart.VerdictForward {
			t.Fatalf("flow %d: got verdict %d for %s, want it forwarded", i, owners[i].Verdict, owners[i].Cause)
		}
	}
	return owners
}

// check sends a packet of each flow through every instance.
func check(t *testing.T, f Fleet, owners []carawaycart.Decision, now time.Time) {
	t.Helper()
	for i, want := range owners {
		for instance := range f.Instances() {
			d := f.Later(instance, i, want, now)
			if d.Verdict != carawaycart.VerdictForward || d.Endpoint != want.Endpoint {
				t.Fatalf("flow %d through instance %d: got verdict %d at %q for %s, want its owner %s",
					i, instance, d.Verdict, d.Endpoint, d.Cause, want.Endpoint)
			}
		}
	}
}
