package carawaycart

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Protocol is an IP protocol number.
type Protocol uint8

// The transport protocols that can be balanced.
const (
	TCP Protocol = 6
	UDP Protocol = 17
)

// FlowKey identifies a flow by its caller, its service address and protocol.
type FlowKey struct {
	Caller   netip.AddrPort
	Service  netip.AddrPort
	Protocol Protocol
}

// flowKeyBytes is two 16-byte addresses, two ports and the protocol.
const flowKeyBytes = 2*16 + 2*2 + 1

// Fingerprint returns the hash of k by xxHash64.
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

// PacketKind tells where in the life of its flow a packet stands.
type PacketKind uint8

// The kinds of packet.
const (
	PacketMiddle PacketKind = iota // any packet that neither opens nor ends a flow
	PacketFirst                    // opens a flow: TCP SYN without ACK
	PacketLast                     // ends a flow: TCP FIN or RST
)

// Packet is the decoded part of a packet that decisions need.
type Packet struct {
	Key     FlowKey
	Kind    PacketKind
	Relayed bool // received from another instance

	// The fields below are set only by formats whose packets carry a Token.

	Token        Token
	Sequence     uint32
	Acknowledged uint32
	DataBytes    int
	Copy         int  // how often a first packet was sent before
	Reset        bool // ends the flow at once
}

// Fault tells what is wrong with a datagram that cannot be decoded.
type Fault uint8

// The faults of a datagram that should hold a packet with a Token.
const (
	FaultNone   Fault = iota
	FaultShort        // shorter than a head
	FaultLength       // another length than the head states
	FaultFlags        // flags that no caller sends
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

// Verdict is what is to be done with a packet.
type Verdict uint8

// The verdicts on a packet.
const (
	VerdictDrop    Verdict = iota // discard and count the Cause
	VerdictForward                // send to Endpoint
	VerdictRelay                  // send once to Instance
	VerdictReset                  // tell the caller that the flow does not exist; count the Cause
)

// Cause tells why a packet was dropped.
type Cause uint8

// The causes of a drop.
const (
	CauseNone           Cause = iota
	CauseUnknownService       // no service has the address
	CauseNoEndpoint           // the service has no endpoint that may take the flow
	CauseNoKeeper             // no instance is ready to decide
	CauseNotKeeper            // relayed to an instance that does not decide for the slot
	CauseNoCapacity           // every endpoint of the service is at its limit
	CauseSpreading            // other instances may not know yet that the slot needs its keeper
	CauseNotReady             // this instance has no configuration yet
	CauseNoRoute              // the configuration has no route for the address
	CauseEnded                // the endpoint that owned the flow has ended
	CauseUnknownToken         // no known endpoint has the packet's token
	CauseCold                 // every endpoint that may take the flow is cold and at its limit
	CauseSilent               // the endpoint that owns the flow answers nothing
	CauseOverload             // the endpoints have more than they can answer in time
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

// Decision is the outcome for one packet.
type Decision struct {
	Verdict  Verdict
	Cause    Cause
	Endpoint EndpointID
	Instance InstanceID
	Record   bool // the keeper recorded a new flow, which must be replicated

	// The fields below are set only by formats whose packets carry a Token.

	Token   Token      // to be written into a first packet
	Zone    ZoneID     // of the endpoint
	Number  HostNumber // of the endpoint at Address
	Address netip.AddrPort
}

// FlowRecord states which endpoint owns a flow that its slot's base does not.
type FlowRecord struct {
	Service     ServiceID
	Fingerprint Fingerprint
	Endpoint    EndpointID
	Revision    Revision // configuration under which the flow was opened
	OpenedUnix  int64    // nanoseconds since 1970
}
