package carawaycart

import (
	"encoding/json"
	"net/netip"
	"time"
)

// Profile is a named set of limits and timeouts that is assigned to services.
type Profile struct {
	Name ProfileName `json:"name"`
	// ColdFlows is the total number of new flows that an endpoint may receive while it is
	// cold (see EndpointCold).
	ColdFlows int `json:"coldFlows"`
	// ColdRequests is the number of requests that a cold endpoint may run concurrently.
	ColdRequests int `json:"coldRequests"`
	// WarmupSeconds is how long the limit on new flows rises after an endpoint reports that
	// it is no longer cold; zero lifts the limit immediately.
	WarmupSeconds Seconds `json:"warmupSeconds"`
	// DrainSeconds is how long the flows of a leaving endpoint may continue.
	DrainSeconds Seconds `json:"drainSeconds"`
	// FlowIdleSeconds is how long the record of an idle flow is retained.
	FlowIdleSeconds Seconds `json:"flowIdleSeconds"`
	// RequestSeconds limits the time from the arrival of a request to its answer.
	RequestSeconds Seconds `json:"requestSeconds"`
	// QueueSeconds limits the time that a request waits for a free request slot.
	QueueSeconds Seconds `json:"queueSeconds"`
	// RetryPercent is the number of retries allowed per 100 new requests.
	RetryPercent int `json:"retryPercent"`
	// AnswerSeconds is how long the answer to a keyed request is retained after the
	// deadline of the request.
	AnswerSeconds Seconds `json:"answerSeconds"`
}

// Service is a named address whose flows and requests are balanced over endpoints.
type Service struct {
	ID      ServiceID      `json:"id"`
	Address netip.AddrPort `json:"address"`
	Profile ProfileName    `json:"profile"`
}

// EndpointMark is the stage of an endpoint's removal from service, as set by
// operators or keepers.
type EndpointMark string

// The marks of an endpoint.
const (
	MarkNone    EndpointMark = ""
	MarkLeaving EndpointMark = "leaving" // receives no new flows or requests; existing flows continue
	MarkDrained EndpointMark = "drained" // assigned to no slots; recorded flows may continue
	MarkEnded   EndpointMark = "ended"   // past its drain deadline; its flows are abandoned
)

// Endpoint is a network host that serves one service. It serves only flows or only
// requests if the other address is the zero value.
type Endpoint struct {
	ID             EndpointID     `json:"id"`
	Service        ServiceID      `json:"service"`
	Zone           ZoneID         `json:"zone"`
	FlowAddress    netip.AddrPort `json:"flowAddress"`    // destination of forwarded packets
	RequestAddress netip.AddrPort `json:"requestAddress"` // destination of requests, also for load reports
	MaxFlows       int            `json:"flows"`          // maximum number of concurrent flows
	RequestSlots   int            `json:"slots"`          // maximum number of concurrent requests
	Mark           EndpointMark   `json:"mark,omitempty"`
	// DrainDeadline is the time at which a leaving or drained endpoint ends; zero means none.
	DrainDeadline time.Time `json:"drainDeadline,omitzero"`
}

// Zone is an availability zone.
type Zone struct {
	ID  ZoneID `json:"id"`
	Out bool   `json:"out,omitempty"` // out of service by an operator's command
}

// ObjectKind is the type of configuration object that a Change modifies.
type ObjectKind string

// The kinds of configuration object.
const (
	KindProfile  ObjectKind = "profile"
	KindService  ObjectKind = "service"
	KindEndpoint ObjectKind = "endpoint"
	KindZone     ObjectKind = "zone"
	KindBundle   ObjectKind = "bundle" // several objects in one change
	// KindSettle makes the current endpoint the base of slots whose base has no flows left.
	KindSettle ObjectKind = "settle"
)

// Change is one entry of the change log, which is also the audit trail. It records
// the object of the given kind and name before and after the change.
type Change struct {
	Revision Revision        `json:"revision"`
	ID       ChangeID        `json:"changeId"`
	Operator OperatorName    `json:"operator"`
	Time     time.Time       `json:"time"`
	Kind     ObjectKind      `json:"kind"`
	Name     string          `json:"name"`
	Before   json.RawMessage `json:"before,omitempty"` // empty if the object did not exist
	After    json.RawMessage `json:"after,omitempty"`  // empty if the object was deleted
}

// SlotTable assigns the slots of one service to its endpoints.
//
// Members lists endpoints. Base and Current are indexed by slot and hold an index
// into Members, or NoMember. The base endpoint of a slot owns the flows that have
// no record; the current endpoint receives new flows.
type SlotTable struct {
	Members []EndpointID `json:"members"`
	Base    []uint16     `json:"base"`
	Current []uint16     `json:"current"`
}

// NoMember is the index in Base or Current for a slot without an endpoint.
const NoMember = ^uint16(0)
