package carawaycart

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Protocol is an IP protocol number.
type Protocol uint8

// The supported transport protocols.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// FlowKey identifies a flow by its caller address, service address and protocol.
type FlowKey struct {
	Caller   netip.AddrPort
	Service  netip.AddrPort
	Protocol Protocol
}

// flowKeyBytes is the encoded size of two 16-byte addresses, two ports and the protocol.
const flowKeyBytes = 2*16 + 2*2 + 1

// Fingerprint returns the xxHash64 hash of k.
func (k FlowKey) Fingerprint() Fingerprint {
	var b [flowKeyBytes]byte
	a := k.Caller.Addr().As16()
	copy(b[0:16], a[:])
	a = k.Service.Addr().As16()
	copy(b[16:32], a[:])
	binary.BigEndian.PutUint16(b[32:34], k.Caller.Port())
	binary.BigEndian.PutUint16(b[34:36], k.Service.Port())
	b[36] = byte(k.Protocol)
	return Fingerprint(xxhash.Sum64(b[:]))
}

// PacketKind tells whether a packet opens, continues or ends its flow.
type PacketKind uint8

// The kinds of packet. Every UDP packet is a PacketMiddle.
const (
	PacketMiddle PacketKind = iota // neither opens nor ends a flow
	PacketFirst                    // opens a flow: TCP SYN without ACK
	PacketLast                     // ends a flow: TCP FIN or RST
)

// Packet holds the decoded fields of a packet that forwarding decisions use.
type Packet struct {
	Key     FlowKey
	Kind    PacketKind
	Relayed bool // received from another instance

	// The fields below are set only by formats whose packets carry a Token.

	Token           Token
	Sequence        uint32 // TCP sequence number
	Acknowledged    uint32 // TCP acknowledgement number
	PayloadBytes    int
	Retransmissions int  // number of earlier transmissions of a first packet
	Waited          bool // may have waited in the instance until the caller sent another copy
	MayAsk          bool // the decision may be VerdictAsk
	Reset           bool // ends the flow immediately
}

// Fault is the reason why a datagram cannot be decoded.
type Fault uint8

// The faults of a datagram in a format whose packets carry a Token.
const (
	FaultNone   Fault = iota
	FaultShort        // shorter than a header
	FaultLength       // length differs from the one in the header
	FaultFlags        // combination of flags that no caller sends
	faultCount
)

// FaultCount is the number of faults.
const FaultCount = int(faultCount)

var faultNames = [FaultCount]string{"none", "short", "length", "flags"}

// String returns the name of f as used in metrics.
func (f Fault) String() string {
	if int(f) >= FaultCount {
		return "invalid"
	}
	return faultNames[f]
}

// Verdict is the action to perform on a packet.
type Verdict uint8

// The verdicts.
const (
	VerdictDrop    Verdict = iota // discard and count the Cause
	VerdictForward                // send to Endpoint
	VerdictRelay                  // send to Instance, which must not relay it again
	VerdictReset                  // answer with a reset, which ends the flow; count the Cause
	VerdictQueue                  // retain the first packet until the router dispatches it
	VerdictAsk                    // retain the packet until peers have told at which endpoint its flow is open
)

// Cause is the reason why a packet was dropped or answered with a reset.
type Cause uint8

// The causes of drops and resets.
const (
	CauseNone           Cause = iota
	CauseUnknownService       // no service has the address
	CauseNoEndpoint           // the service has no endpoint that may receive the flow
	CauseNoKeeper             // the current endpoint of the slot has no keeper that can be reached
	CauseNotKeeper            // relayed to an instance that does not keep the slot's current endpoint
	CauseNoCapacity           // no endpoint of the service can admit the flow
	CauseSpreading            // other instances may not send the slot's packets through its keeper yet
	CauseNotReady             // this instance has no configuration or may not decide yet
	CauseNoRoute              // the configuration has no route for the address
	CauseEnded                // the endpoint that owned the flow has ended
	CauseUnknownToken         // no known lifetime has the token of the packet
	CauseCold                 // every endpoint that may receive the flow is cold and at its limit
	CauseSilent               // the endpoint that owns or could receive the flow is silent
	CauseOverload             // the endpoints have more requests than they can answer in time
	causeCount
)

// CauseCount is the number of causes.
const CauseCount = int(causeCount)

var causeNames = [CauseCount]string{
	"none", "unknownService", "noEndpoint", "noKeeper", "notKeeper", "noCapacity", "spreading", "notReady",
	"noRoute", "ended", "unknownToken", "cold", "silent", "overload",
}

// String returns the name of c as used in metrics.
func (c Cause) String() string {
	if int(c) >= CauseCount {
		return "invalid"
	}
	return causeNames[c]
}

// Decision is the result of routing one packet.
type Decision struct {
	Verdict       Verdict
	Cause         Cause
	Endpoint      EndpointID // destination of VerdictForward
	Instance      InstanceID // destination of VerdictRelay
	RecordCreated bool       // the keeper recorded a new flow, whose record must be replicated

	// The fields below are set only by formats whose packets carry a Token.

	Token         Token          // token to write into a first packet
	TokenReplaced bool           // whether to write Token into another packet too
	Zone          ZoneID         // zone of Endpoint
	Number        EndpointNumber // number of Endpoint
	Address       netip.AddrPort
}

// FlowRecord states which endpoint owns a flow that the base endpoint of its slot
// does not own.
type FlowRecord struct {
	Service        ServiceID
	Fingerprint    Fingerprint
	Endpoint       EndpointID
	Revision       Revision // revision of the configuration when the flow was opened
	OpenedUnixNano int64    // time at which the flow was opened, in nanoseconds since the Unix epoch
}
