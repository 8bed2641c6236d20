package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// caller is a stand-in of a requester with the platform's router in front of it: it sends
// orders, each in a flow of its own with one request and one response.
type caller struct {
	name    string
	zone    string
	address netip.Addr
	f       *fleet
	rec     *recorder
	conn    *net.UDPConn
	mu      sync.Mutex
	ports   map[uint16]chan packet
	next    uint16
	count   int
}

func newCaller(name, zone string, address netip.AddrPort, f *fleet, rec *recorder) (*caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &caller{name: name, zone: zone, address: address.Addr(), f: f, rec: rec, conn: conn, ports: make(map[uint16]chan packet), next: 20000}
	go c.read()
	return c, nil
}

func (c *caller) read() {
	b := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, valid, zero := decode(b[:n])
		if !valid && !(zero && p.flags&flagRST != 0) {
			c.rec.line("requester %s: packet from %s that its sender did not write so", c.name, from)
			c.rec.fail("MIXED", "requester %s got a packet with a wrong sum", c.name)
			continue
		}
		if zero {
			p.echo, p.flags = 0, flagRST // a reset of the system
		}
		c.mu.Lock()
		in := c.ports[p.dst.Port()]
		c.mu.Unlock()
		if in != nil {
			select {
			case in <- p:
			default:
			}
		}
	}
}

// load sends orders to service evenly until stop is closed, perSecond of them. Their names
// begin with label.
func (c *caller) load(label string, service netip.AddrPort, perSecond float64, stop <-chan struct{}) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
			go c.order(label, service)
		}
	}
}

// order sends one order. If a flow never opens, or a host has not run the order, it is sent
// again, twice at most.
func (c *caller) order(label string, service netip.AddrPort) {
	c.mu.Lock()
	c.count++
	n := c.count
	c.mu.Unlock()
	for try := range 3 {
		id := fmt.Sprintf("%s-%s-%d-%d", label, c.zone, n, try)
		if c.try(id, service) {
			return
		}
	}
}

// try makes one attempt and reports whether it is the last one.
func (c *caller) try(id string, service netip.AddrPort) bool {
	c.mu.Lock()
	c.next++
	if c.next < 20000 {
		c.next = 20000
	}
	port := c.next
	in := make(chan packet, 32)
	c.ports[port] = in
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.ports, port)
		c.mu.Unlock()
	}()
	own := netip.AddrPortFrom(c.address, port)
	send := func(p packet) {
		p.src, p.dst = own, service
		if to, ok := c.f.route(c.zone, own, service); ok {
			_, _ = c.conn.WriteToUDPAddrPort(p.encode(), to)
		}
	}
	seq := rand.Uint32()
	began := time.Now()
	c.rec.sent(id, began)
	send(packet{seq: seq, flags: flagSYN})
	copies := []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	var first packet
	for n := 0; first.flags == 0; {
		select {
		case p := <-in:
			switch {
			case p.flags&flagRST != 0:
				c.rec.outcome(id, "reset before the flow was open")
				return false
			case p.flags&flagSYN != 0 && p.ack == seq+1:
				first = p
			}
		case <-time.After(time.Until(began.Add(copies[n]))):
			if n++; n == len(copies) {
				c.rec.outcome(id, "no answer to the first packet")
				return false
			}
			send(packet{seq: seq, ack: uint32(n), flags: flagSYN})
		}
	}
	host, echo := first.seq, first.echo
	send(packet{seq: seq + 1, ack: host + 1, flags: flagACK, echo: echo})
	request := packet{seq: seq + 1, ack: host + 1, flags: flagACK, data: []byte(id)}
	deadline, wait := began.Add(2*time.Second), resendFirst
	request.echo = echo
	send(request)
	for {
		select {
		case p := <-in:
			switch {
			case p.flags&flagRST != 0:
				c.rec.outcome(id, "reset on an open flow")
				return true
			case p.flags&flagSYN != 0:
				// a late answer of another host to the first packet
			case len(p.data) > 0 && p.seq == host+1:
				echo = p.echo
				end := packet{seq: seq + 1 + uint32(len(id)), ack: host + 1 + uint32(len(p.data)), flags: flagACK | flagFIN, echo: echo}
				send(end)
				c.rec.outcome(id, string(p.data))
				return string(p.data[:3]) == "200"
			}
		case <-time.After(wait):
			if time.Now().After(deadline) {
				c.rec.outcome(id, "time budget passed")
				return true
			}
			wait = min(2*wait, resendLongest)
			request.echo = echo
			send(request)
		}
	}
}
