package carawaycart

import (
	"net/netip"
	"time"
)

// MemberState is the state of an instance as its peers see it.
type MemberState uint8

// The states of an instance, in the order in which they override each other
// within one incarnation.
const (
	MemberJoining MemberState = iota // alive, still copying state
	MemberReady                      // alive and able to decide
	MemberSuspect                    // did not answer probes
	MemberLeft                       // stopped as planned
	MemberDead                       // declared failed
)

var memberStateNames = [...]string{"joining", "ready", "suspect", "left", "dead"}

// String returns the name of s.
func (s MemberState) String() string {
	if int(s) >= len(memberStateNames) {
		return "invalid"
	}
	return memberStateNames[s]
}

// Member is what is known about one instance.
type Member struct {
	ID          InstanceID
	Zone        ZoneID
	PeerAddress netip.AddrPort // TCP for calls, UDP for relayed packets
	Incarnation Incarnation
	State       MemberState
	Revision    Revision // configuration the instance runs
}

// EndpointState is the condition of an endpoint as its keeper judges it.
type EndpointState uint8

// The states of an endpoint.
const (
	EndpointUnknown EndpointState = iota // no report yet; treated as cold
	EndpointOpen                         // takes new work
	EndpointCold                         // takes only what its profile allows
	EndpointFull                         // at its limit or shedding
	EndpointSilent                       // stopped reporting
	EndpointDead                         // refuses connections
)

var endpointStateNames = [...]string{"unknown", "open", "cold", "full", "silent", "dead"}

// String returns the name of s.
func (s EndpointState) String() string {
	if int(s) >= len(endpointStateNames) {
		return "invalid"
	}
	return endpointStateNames[s]
}

// EndpointStatus is what the keeper of an endpoint tells all instances.
//
// While Guarded, every packet of the slots whose current endpoint it is must
// pass through the keeper, because some flows of those slots live elsewhere.
type EndpointStatus struct {
	Endpoint EndpointID
	Keeper   InstanceID
	Version  Version
	State    EndpointState
	Guarded  bool
}

// Report is what an endpoint says about itself; it may lag or mislead.
type Report struct {
	Flows    int  `json:"flows"`
	Requests int  `json:"requests"`
	Cold     bool `json:"cold"`
	Shedding bool `json:"shedding"`
}

// Outcome is what a caller is told about its request.
type Outcome string

// The outcomes of a request.
const (
	OutcomeAnswered Outcome = "answered" // the endpoint's own answer follows
	OutcomeNotRun   Outcome = "notRun"   // certainly not run; may be sent again
	OutcomeUnknown  Outcome = "unknown"  // may or may not have run
)

// Answer is the kept answer to a keyed request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// ClaimState is the state of a keyed request.
type ClaimState uint8

// The states of a claim.
const (
	ClaimPending  ClaimState = iota // may have reached an endpoint
	ClaimAnswered                   // the answer is kept
	ClaimNotRun                     // certainly not run
	ClaimUnknown                    // may or may not have run
)

// Claim is the record of a keyed request.
type Claim struct {
	Key      IdempotencyKey
	Service  ServiceID
	Digest   RequestDigest
	Attempt  AttemptID  // the try that may reach an endpoint
	Entry    InstanceID // the instance that makes the attempt
	State    ClaimState
	Answer   Answer
	Deadline time.Time // when the claim may be forgotten
}
