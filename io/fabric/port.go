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

// Translator turns datagrams that arrive into datagrams to send; it serves one
// thread.
type Translator interface {
	// Headroom returns how many bytes Translate may write before a datagram.
	Headroom() int
	// MaxDatagram returns the longest datagram that can arrive, in bytes.
	MaxDatagram() int
	// Translate returns what to send, and where, for the datagram that begins in
	// b after the headroom; it returns false to send nothing. The result may lie
	// in b.
	Translate(b []byte) ([]byte, netip.AddrPort, bool)
}

// Port forwards the datagrams that arrive on one UDP socket.
type Port struct {
	conn *net.UDPConn
	done sync.WaitGroup
}

// NewPort forwards datagrams that arrive on conn with the given number of
// threads until Close; relayed marks what arrives as sent on by a peer.
func NewPort(conn *net.UDPConn, relayed bool, handler Handler, threads int) *Port {
	return NewTranslatorPort(conn, threads, func() Translator {
		return &unwrapper{relayed: relayed, handler: handler, decoder: NewDecoder()}
	})
}

// NewTranslatorPort translates datagrams that arrive on conn with the given
// number of threads until Close.
func NewTranslatorPort(conn *net.UDPConn, threads int, newTranslator func() Translator) *Port {
	p := &Port{conn: conn}
	for range threads {
		p.done.Go(func() {
			newForwarder(conn, newTranslator()).run()
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

// unwrapper is the Translator of Geneve datagrams, which it sends on unchanged.
type unwrapper struct {
	relayed bool
	handler Handler
	decoder *Decoder
}

// Headroom returns zero.
func (*unwrapper) Headroom() int { return 0 }

// MaxDatagram returns the size of a jumbo frame.
func (*unwrapper) MaxDatagram() int { return datagramBytes }

// Translate returns b if the handler knows where to send it.
func (u *unwrapper) Translate(b []byte) ([]byte, netip.AddrPort, bool) {
	if len(b) >= datagramBytes {
		u.handler.Fault(FaultIP)
		return nil, netip.AddrPort{}, false
	}
	var p carawaycart.Packet
	if fault := u.decoder.Decode(b, &p); fault != FaultNone {
		u.handler.Fault(fault)
		return nil, netip.AddrPort{}, false
	}
	p.Relayed = u.relayed
	address, ok := u.handler.Handle(&p)
	return b, address, ok
}

// forwarder is the state of one thread; its buffers are used again for every
// batch.
type forwarder struct {
	conn       *ipv4.PacketConn
	translator Translator
	headroom   int
	buffers    [][]byte
	in         []ipv4.Message
	out        []ipv4.Message
	addresses  map[netip.AddrPort]*net.UDPAddr
}

func newForwarder(conn *net.UDPConn, t Translator) *forwarder {
	f := &forwarder{
		conn:       ipv4.NewPacketConn(conn),
		translator: t,
		headroom:   t.Headroom(),
		buffers:    make([][]byte, batchSize),
		in:         make([]ipv4.Message, batchSize),
		out:        make([]ipv4.Message, 0, batchSize),
		addresses:  make(map[netip.AddrPort]*net.UDPAddr),
	}
	for i := range f.in {
		f.buffers[i] = make([]byte, f.headroom+t.MaxDatagram())
		f.in[i].Buffers = [][]byte{f.buffers[i][f.headroom:]}
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
			f.handle(f.buffers[i][:f.headroom+f.in[i].N])
		}
		f.flush()
	}
}

func (f *forwarder) handle(b []byte) {
	datagram, address, ok := f.translator.Translate(b)
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
