package fabric

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/net/ipv4"

	"carawaycart"
)

const (
	batchSize          = 32      // datagrams per system call
	maxDatagramBytes   = 9216    // receive buffer of a datagram: the size of a jumbo frame
	maxCachedAddresses = 1 << 16 // destinations cached per thread, after which the cache is cleared

	maxReadFailures  = 32                    // consecutive failed reads before a pause
	readFailurePause = 10 * time.Millisecond // time between failed reads after that
)

// Handler selects the destinations of packets. Its methods must be safe for
// concurrent use.
type Handler interface {
	// Route returns the address to which to forward the datagram that holds p, or
	// false to drop it. It counts the cause of a drop.
	Route(p *carawaycart.Packet) (netip.AddrPort, bool)
	// CountFault counts a datagram that could not be decoded.
	CountFault(f Fault)
}

// Translator selects the destination of each received datagram and may rewrite the
// datagram. Each forwarding thread has its own Translator, so it need not be safe
// for concurrent use.
type Translator interface {
	// Headroom returns the number of bytes reserved before each datagram, which
	// Translate may overwrite.
	Headroom() int
	// ReceiveBufferBytes returns the size of the receive buffer for a datagram, in
	// bytes. A longer datagram is truncated to it.
	ReceiveBufferBytes() int
	// Translate returns the datagram to send and its destination, or false to send
	// nothing. The received datagram begins in b after the headroom. The result may
	// alias b.
	Translate(b []byte) ([]byte, netip.AddrPort, bool)
}

// Port forwards the datagrams received on one UDP socket.
type Port struct {
	conn *net.UDPConn
	wg   sync.WaitGroup
}

// NewPort forwards Geneve datagrams received on conn with the given number of
// threads until Close. If relayed is set, the packets passed to handler are
// marked as relayed by a peer.
func NewPort(conn *net.UDPConn, relayed bool, handler Handler, threads int) *Port {
	return NewTranslatorPort(conn, threads, func() Translator {
		return &geneveForwarder{relayed: relayed, handler: handler, decoder: NewDecoder()}
	})
}

// NewTranslatorPort translates and forwards datagrams received on conn with the
// given number of threads until Close. It calls newTranslator once per thread.
func NewTranslatorPort(conn *net.UDPConn, threads int, newTranslator func() Translator) *Port {
	p := &Port{conn: conn}
	for range threads {
		p.wg.Go(func() {
			newForwarder(conn, newTranslator()).run()
		})
	}
	return p
}

// Close closes the socket and waits until all threads have stopped.
func (p *Port) Close() error {
	err := p.conn.Close()
	p.wg.Wait()
	return errors.Annotatef(err, "close port %s", p.conn.LocalAddr())
}

// geneveForwarder is a Translator that forwards Geneve datagrams unchanged.
type geneveForwarder struct {
	relayed bool // whether the datagrams were relayed by a peer
	handler Handler
	decoder *Decoder
}

// Headroom returns zero.
func (*geneveForwarder) Headroom() int { return 0 }

// ReceiveBufferBytes returns the size of a jumbo frame.
func (*geneveForwarder) ReceiveBufferBytes() int { return maxDatagramBytes }

// Translate returns b unchanged with the destination that the handler selects.
func (f *geneveForwarder) Translate(b []byte) ([]byte, netip.AddrPort, bool) {
	if len(b) >= maxDatagramBytes { // possibly truncated
		f.handler.CountFault(FaultIP)
		return nil, netip.AddrPort{}, false
	}
	var p carawaycart.Packet
	if fault := f.decoder.Decode(b, &p); fault != FaultNone {
		f.handler.CountFault(fault)
		return nil, netip.AddrPort{}, false
	}
	p.Relayed = f.relayed
	address, ok := f.handler.Route(&p)
	return b, address, ok
}

// forwarder is the state of one forwarding thread. Its buffers are reused for
// every batch.
type forwarder struct {
	conn       *ipv4.PacketConn
	translator Translator
	headroom   int                             // of translator, in bytes
	buffers    [][]byte                        // headroom and receive buffer of each element of received
	received   []ipv4.Message                  // the batch that was read last
	outgoing   []ipv4.Message                  // datagrams to send for the batch
	addresses  map[netip.AddrPort]*net.UDPAddr // cache of destinations
}

func newForwarder(conn *net.UDPConn, t Translator) *forwarder {
	f := &forwarder{
		conn:       ipv4.NewPacketConn(conn),
		translator: t,
		headroom:   t.Headroom(),
		buffers:    make([][]byte, batchSize),
		received:   make([]ipv4.Message, batchSize),
		outgoing:   make([]ipv4.Message, 0, batchSize),
		addresses:  make(map[netip.AddrPort]*net.UDPAddr),
	}
	for i := range f.received {
		f.buffers[i] = make([]byte, f.headroom+t.ReceiveBufferBytes())
		f.received[i].Buffers = [][]byte{f.buffers[i][f.headroom:]}
	}
	return f
}

// run forwards datagrams until the socket is closed.
func (f *forwarder) run() {
	failures := 0 // consecutive failed reads
	for {
		n, err := f.conn.ReadBatch(f.received, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The kernel reports an ICMP error that an earlier send caused. An error that
			// lasts must not occupy the processor.
			if failures++; failures > maxReadFailures {
				time.Sleep(readFailurePause)
			}
			continue
		}
		failures = 0
		f.outgoing = f.outgoing[:0]
		for i := range f.received[:n] {
			f.enqueue(f.buffers[i][:f.headroom+f.received[i].N])
		}
		f.flush()
	}
}

// enqueue translates the headroom and datagram in b and appends the result to
// outgoing.
func (f *forwarder) enqueue(b []byte) {
	datagram, address, ok := f.translator.Translate(b)
	if !ok {
		return
	}
	i := len(f.outgoing)
	f.outgoing = f.outgoing[:i+1]
	if f.outgoing[i].Buffers == nil {
		f.outgoing[i].Buffers = make([][]byte, 1)
	}
	f.outgoing[i].Buffers[0] = datagram
	f.outgoing[i].Addr = f.address(address)
}

// address returns a as a net.UDPAddr, cached to avoid an allocation per datagram.
func (f *forwarder) address(a netip.AddrPort) *net.UDPAddr {
	u, ok := f.addresses[a]
	if !ok {
		if len(f.addresses) >= maxCachedAddresses {
			clear(f.addresses)
		}
		u = net.UDPAddrFromAddrPort(a)
		f.addresses[a] = u
	}
	return u
}

// flush sends the outgoing datagrams. One that cannot be sent is dropped, since UDP
// delivery is best effort.
func (f *forwarder) flush() {
	for outgoing := f.outgoing; len(outgoing) > 0; {
		n, err := f.conn.WriteBatch(outgoing, 0)
		if err != nil {
			n = max(n, 1)
		}
		outgoing = outgoing[n:]
	}
}
