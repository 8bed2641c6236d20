package carawaycart

import (
	"encoding/json"
	"net/netip"
	"time"
)

// Profile is a named set of policies that services run under.
type Profile struct {
	Name ProfileName `json:"name"`
	// ColdFlows is how many new flows an endpoint may take in sum while it is cold.
	ColdFlows int `json:"coldFlows"`
	// ColdRequests is how many requests a cold endpoint may run at once.
	ColdRequests int `json:"coldRequests"`
	// WarmupSeconds is how long new flows ramp up after an endpoint reports warm.
	WarmupSeconds Seconds `json:"warmupSeconds"`
	// DrainSeconds is how long flows of a leaving endpoint may go on.
	DrainSeconds Seconds `json:"drainSeconds"`
	// FlowIdleSeconds is how long a silent flow is remembered.
	FlowIdleSeconds Seconds `json:"flowIdleSeconds"`
	// RequestSeconds bounds a request from arrival to answer.
	RequestSeconds Seconds `json:"requestSeconds"`
	// QueueSeconds bounds the wait for a free request slot.
	QueueSeconds Seconds `json:"queueSeconds"`
	// RetryPercent is how many retries may be sent per hundred fresh requests.
	RetryPercent int `json:"retryPercent"`
	// AnswerSeconds is how long the answer to a keyed request is kept.
	AnswerSeconds Seconds `json:"answerSeconds"`
}

// Service is a named address behind which endpoints take flows and requests.
type Service struct {
	ID      ServiceID      `json:"id"`
	Address netip.AddrPort `json:"address"`
	Profile ProfileName    `json:"profile"`
}

// EndpointMark is what operators or keepers have decided about an endpoint.
type EndpointMark string

// The marks of an endpoint.
const (
	MarkNone    EndpointMark = ""
	MarkLeaving EndpointMark = "leaving" // takes no new work, keeps its flows
	MarkDrained EndpointMark = "drained" // owns no slots; recorded flows may go on
	MarkEnded   EndpointMark = "ended"   // past its drain deadline; its flows are given up
)

// Endpoint is one host of a service.
type Endpoint struct {
	ID             EndpointID     `json:"id"`
	Service        ServiceID      `json:"service"`
	Zone           ZoneID         `json:"zone"`
	FlowAddress    netip.AddrPort `json:"flowAddress"`
	RequestAddress netip.AddrPort `json:"requestAddress"`
	Flows          int            `json:"flows"` // connections the host can hold
	Slots          int            `json:"slots"` // requests the host can run at once
	Mark           EndpointMark   `json:"mark,omitempty"`
	DrainDeadline  time.Time      `json:"drainDeadline,omitzero"`
}

// Zone is an availability zone.
type Zone struct {
	ID  ZoneID `json:"id"`
	Out bool   `json:"out,omitempty"` // operators have taken the zone out
}

// ObjectKind tells what a Change is about.
type ObjectKind string

// The kinds of configuration object.
const (
	KindProfile  ObjectKind = "profile"
	KindService  ObjectKind = "service"
	KindEndpoint ObjectKind = "endpoint"
	KindZone     ObjectKind = "zone"
	KindBundle   ObjectKind = "bundle" // several objects at once
	KindSettle   ObjectKind = "settle" // base endpoints of a service's slots have no flows left
)

// Change is one entry of the change log, which is also the audit trail.
type Change struct {
	Revision Revision        `json:"revision"`
	ID       ChangeID        `json:"changeId"`
	Operator OperatorName    `json:"operator"`
	Time     time.Time       `json:"time"`
	Kind     ObjectKind      `json:"kind"`
	Name     string          `json:"name"`
	Before   json.RawMessage `json:"before,omitempty"`
	After    json.RawMessage `json:"after,omitempty"`
}

// SlotTable assigns the slots of one service to its endpoints.
//
// Members lists endpoints; Base and Current hold an index into Members for each
// slot, or NoMember.
type SlotTable struct {
	Members []EndpointID `json:"members"`
	Base    []uint16     `json:"base"`
	Current []uint16     `json:"current"`
}

// NoMember marks a slot that has no endpoint.
const NoMember = ^uint16(0)
