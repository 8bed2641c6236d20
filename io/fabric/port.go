package fabric

import (
	"net"
	"net/netip"
	"sync"

	"github.com/juju/errors"
	"golang.org/x/net/ipv4"

	"carawaycart"
)

const (
	batchSize     = 32
	datagramBytes = 9216 // a jumbo frame
	cachedPeers   = 1 << 16
)

// Handler decides where packets go.
type Handler interface {
	// Handle returns where the datagram that holds p is to be sent, or false to
	// drop it; the handler counts the cause.
	Handle(p *carawaycart.Packet) (netip.AddrPort, bool)
	// Fault counts a datagram that could not be decoded.
	Fault(f Fault)
}

// Port forwards the datagrams that arrive on one UDP socket.
type Port struct {
	conn *net.UDPConn
	done sync.WaitGroup
}

// NewPort forwards datagrams that arrive on conn with the given number of
// threads until Close; relayed marks what arrives as sent on by a peer.
func NewPort(conn *net.UDPConn, relayed bool, handler Handler, threads int) *Port {
	p := &Port{conn: conn}
	for range threads {
		p.done.Go(func() {
			newForwarder(conn, relayed, handler).run()
		})
	}
	return p
}

// Close stops forwarding and closes the socket.
func (p *Port) Close() error {
	err := p.conn.Close()
	p.done.Wait()
	return errors.Annotatef(err, "close port %s", p.conn.LocalAddr())
}

// forwarder is the state of one thread; its buffers are used again for every
// batch.
type forwarder struct {
	conn      *ipv4.PacketConn
	relayed   bool
	handler   Handler
	decoder   *Decoder
	in        []ipv4.Message
	out       []ipv4.Message
	addresses map[netip.AddrPort]*net.UDPAddr
}

func newForwarder(conn *net.UDPConn, relayed bool, handler Handler) *forwarder {
	f := &forwarder{
		conn:      ipv4.NewPacketConn(conn),
		relayed:   relayed,
		handler:   handler,
		decoder:   NewDecoder(),
		in:        make([]ipv4.Message, batchSize),
		out:       make([]ipv4.Message, 0, batchSize),
		addresses: make(map[netip.AddrPort]*net.UDPAddr),
	}
	for i := range f.in {
		f.in[i].Buffers = [][]byte{make([]byte, datagramBytes)}
	}
	return f
}

func (f *forwarder) run() {
	for {
		n, err := f.conn.ReadBatch(f.in, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an ICMP error of an earlier send
		}
		f.out = f.out[:0]
		for i := range f.in[:n] {
			f.handle(&f.in[i])
		}
		f.flush()
	}
}

func (f *forwarder) handle(m *ipv4.Message) {
	if m.N >= datagramBytes {
		f.handler.Fault(FaultIP)
		return
	}
	datagram := m.Buffers[0][:m.N]
	var p carawaycart.Packet
	if fault := f.decoder.Decode(datagram, &p); fault != FaultNone {
		f.handler.Fault(fault)
		return
	}
	p.Relayed = f.relayed
	address, ok := f.handler.Handle(&p)
	if !ok {
		return
	}
	i := len(f.out)
	f.out = f.out[:i+1]
	if f.out[i].Buffers == nil {
		f.out[i].Buffers = make([][]byte, 1)
	}
	f.out[i].Buffers[0] = datagram
	f.out[i].Addr = f.address(address)
}

func (f *forwarder) address(a netip.AddrPort) *net.UDPAddr {
	u, ok := f.addresses[a]
	if !ok {
		if len(f.addresses) >= cachedPeers {
			clear(f.addresses)
		}
		u = net.UDPAddrFromAddrPort(a)
		f.addresses[a] = u
	}
	return u
}

// flush sends the batch; a datagram that cannot be sent is skipped, as on any
// network.
func (f *forwarder) flush() {
	for out := f.out; len(out) > 0; {
		n, err := f.conn.WriteBatch(out, 0)
		if err != nil {
			n = max(n, 1)
		}
		out = out[n:]
	}
}
