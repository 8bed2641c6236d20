package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/juju/errors"

	"carawaycart"
)

// Fabric emulates the platform's fabric. It sends each packet of a caller to an
// instance chosen at random, irrespective of the flow, and delivers the replies of
// endpoints directly to callers.
type Fabric struct {
	conn *net.UDPConn

	mu        sync.Mutex
	random    *rand.Rand
	instances []fabricTarget
	callers   map[netip.AddrPort]func(reply)
}

// fabricTarget is an instance to which the fabric sends packets.
type fabricTarget struct {
	id      carawaycart.InstanceID
	address netip.AddrPort
}

// NewFabric returns a fabric without instances that sends from address, a
// host:port whose port may be 0. The seed determines the choice of instances.
func NewFabric(address string, seed uint64) (*Fabric, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Annotate(err, "resolve address of fabric")
	}
	conn, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, errors.Annotate(err, "listen for fabric")
	}
	return &Fabric{
		conn: conn, random: rand.New(rand.NewPCG(seed, seed)), callers: make(map[netip.AddrPort]func(reply)),
	}, nil
}

// Close closes the socket of the fabric.
func (f *Fabric) Close() { _ = f.conn.Close() }

// Add adds an instance to which the fabric sends packets.
func (f *Fabric) Add(id carawaycart.InstanceID, address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, fabricTarget{id: id, address: address})
}

// Remove stops the fabric from sending packets to an instance.
func (f *Fabric) Remove(id carawaycart.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := make([]fabricTarget, 0, len(f.instances))
	for _, t := range f.instances {
		if t.id != id {
			kept = append(kept, t)
		}
	}
	f.instances = kept
}

// Send sends a caller's datagram to a random instance. It drops the datagram if
// there is no instance.
func (f *Fabric) Send(datagram []byte) {
	f.mu.Lock()
	if len(f.instances) == 0 {
		f.mu.Unlock()
		return
	}
	t := f.instances[f.random.IntN(len(f.instances))]
	f.mu.Unlock()
	_, _ = f.conn.WriteToUDPAddrPort(datagram, t.address)
}

// attach registers receive for the replies to the caller at address.
func (f *Fabric) attach(address netip.AddrPort, receive func(reply)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callers[address] = receive
}

// detach removes the registration of the caller at address.
func (f *Fabric) detach(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.callers, address)
}

// deliver passes an endpoint's reply to the caller at address. It drops the reply
// if the caller is not attached.
func (f *Fabric) deliver(address netip.AddrPort, r reply) {
	f.mu.Lock()
	receive := f.callers[address]
	f.mu.Unlock()
	if receive != nil {
		receive(r)
	}
}
