package carawaycart

import (
	"net/netip"
	"time"
)

// MemberState is the state of a member, an instance of the fleet, as its peers
// see it.
type MemberState uint8

// The states of a member. Within one incarnation, a later state in this list
// overrides an earlier one.
const (
	MemberJoining MemberState = iota // alive, still receiving state from its peers
	MemberReady                      // alive and able to make forwarding decisions
	MemberSuspect                    // did not answer probes; not yet declared failed
	MemberLeft                       // shut down gracefully
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

// Member is the known state of one instance.
type Member struct {
	ID          InstanceID
	Zone        ZoneID
	PeerAddress netip.AddrPort // TCP for calls, UDP for relayed packets
	Incarnation Incarnation
	State       MemberState
	Revision    Revision // revision of the configuration that the instance uses
}

// EndpointState is the state of an endpoint as determined by its keeper.
type EndpointState uint8

// The states of an endpoint.
const (
	EndpointUnknown EndpointState = iota // no report yet; treated as cold
	EndpointOpen                         // receives new flows and requests
	EndpointCold                         // reports that it cannot serve its full load yet; limited by its profile
	EndpointFull                         // reports that it is at its flow limit or shedding
	EndpointSilent                       // has stopped answering requests for load reports
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

// EndpointStatus is the state of an endpoint that its keeper broadcasts to all
// instances.
//
// While an endpoint is Guarded, every packet of the slots whose current endpoint
// it is must pass through the keeper, because other endpoints own, or may receive,
// some flows of those slots.
type EndpointStatus struct {
	Endpoint EndpointID
	Keeper   InstanceID
	Version  StatusVersion
	State    EndpointState
	Guarded  bool
}

// LoadReport is the load that an endpoint reports. It may be outdated or wrong.
type LoadReport struct {
	Flows    int  `json:"flows"`    // number of open flows
	Requests int  `json:"requests"` // number of requests in progress
	Cold     bool `json:"cold"`     // cannot serve its full load yet
	Shedding bool `json:"shedding"` // refuses work because it is overloaded
}

// Outcome is the result of a request that is returned to its caller.
type Outcome string

// The outcomes of a request.
const (
	OutcomeAnswered Outcome = "answered" // the answer of the endpoint follows
	OutcomeNotRun   Outcome = "notRun"   // known not to have run; may be sent again
	OutcomeUnknown  Outcome = "unknown"  // may or may not have run
)

// Answer is the retained answer to a keyed request.
type Answer struct {
	Status      int // HTTP status; zero if the answer was too large to be retained
	ContentType string
	Body        []byte
}

// ClaimState is the state of a keyed request.
type ClaimState uint8

// The states of a Claim.
const (
	ClaimPending  ClaimState = iota // may have reached an endpoint
	ClaimAnswered                   // the answer is retained
	ClaimNotRun                     // known not to have run
	ClaimUnknown                    // may or may not have run
)

// Claim is the record of a keyed request.
type Claim struct {
	Key           IdempotencyKey
	Service       ServiceID
	Digest        RequestDigest
	Attempt       AttemptID  // attempt that may reach an endpoint
	EntryInstance InstanceID // instance that makes the attempt
	State         ClaimState
	Answer        Answer    // set only in state ClaimAnswered
	Deadline      time.Time // time at which the claim may be deleted
}
