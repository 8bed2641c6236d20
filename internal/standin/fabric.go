package standin

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/juju/errors"

	"carawaycart"
)

// Fabric is a stand-in for the platform's fabric: it sprays the packets of
// callers over the instances, any packet to any instance, and carries the
// endpoints' answers to callers directly.
type Fabric struct {
	conn *net.UDPConn

	mu        sync.Mutex
	random    *rand.Rand
	instances []target
	callers   map[netip.AddrPort]func(reply)
}

type target struct {
	id      carawaycart.InstanceID
	address netip.AddrPort
}

// NewFabric returns a fabric that sends from a free port of address, an IP
// number, and sprays in an order given by seed.
func NewFabric(address string, seed uint64) (*Fabric, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Annotate(err, "address of fabric")
	}
	conn, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, errors.Annotate(err, "listen for fabric")
	}
	return &Fabric{
		conn: conn, random: rand.New(rand.NewPCG(seed, seed)), callers: make(map[netip.AddrPort]func(reply)),
	}, nil
}

// Close stops the fabric.
func (f *Fabric) Close() { _ = f.conn.Close() }

// Add makes the fabric send packets to an instance.
func (f *Fabric) Add(id carawaycart.InstanceID, address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances = append(f.instances, target{id: id, address: address})
}

// Remove makes the fabric send no more packets to an instance.
func (f *Fabric) Remove(id carawaycart.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := make([]target, 0, len(f.instances))
	for _, t := range f.instances {
		if t.id != id {
			kept = append(kept, t)
		}
	}
	f.instances = kept
}

// Send hands the datagram of a caller to any instance; with none it is lost.
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

// attach makes the fabric carry answers for the caller at address to receive.
func (f *Fabric) attach(address netip.AddrPort, receive func(reply)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callers[address] = receive
}

func (f *Fabric) detach(address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.callers, address)
}

// deliver carries an endpoint's answer to the caller at address.
func (f *Fabric) deliver(address netip.AddrPort, r reply) {
	f.mu.Lock()
	receive := f.callers[address]
	f.mu.Unlock()
	if receive != nil {
		receive(r)
	}
}
