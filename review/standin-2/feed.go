package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"
)

// feed keeps one flow open and sends requests on it with pauses, until it is reset or stop is
// closed, and then opens the next one.
func (c *caller) feed(label string, service netip.AddrPort, pause, length time.Duration, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		c.feedFlow(fmt.Sprintf("%s-%s-%d", label, c.zone, n), service, pause, length, stop)
		time.Sleep(20 * time.Millisecond)
	}
}

func (c *caller) feedFlow(id string, service netip.AddrPort, pause, length time.Duration, stop <-chan struct{}) {
	c.mu.Lock()
	c.next++
	if c.next < 20000 {
		c.next = 20000
	}
	port := c.next
	in := make(chan packet, 64)
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
	send(packet{seq: seq, flags: flagSYN})
	copies := []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	var first packet
	for n := 0; first.flags == 0; {
		select {
		case p := <-in:
			switch {
			case p.flags&flagRST != 0:
				return
			case p.flags&flagSYN != 0 && p.ack == seq+1:
				first = p
			}
		case <-time.After(time.Until(began.Add(copies[n]))):
			if n++; n == len(copies) {
				return
			}
			send(packet{seq: seq, ack: uint32(n), flags: flagSYN})
		}
	}
	mine, theirs, echo := seq+1, first.seq+1, first.echo
	send(packet{seq: mine, ack: theirs, flags: flagACK, echo: echo})
	host, opened := "", time.Now()
	for r := 0; time.Since(opened) < length; r++ {
		select {
		case <-stop:
			send(packet{seq: mine, ack: theirs, flags: flagACK | flagFIN, echo: echo})
			return
		default:
		}
		text := fmt.Sprintf("%s-%d", id, r)
		wait, sentAt := resendFirst, time.Now()
		c.rec.sent(text, sentAt)
		data := packet{seq: mine, ack: theirs, flags: flagACK, data: []byte(text)}
		data.echo = echo
		send(data)
		for answered := false; !answered; {
			select {
			case p := <-in:
				switch {
				case p.flags&flagSYN != 0:
					if p.seq+1 != first.seq+1 {
						c.rec.line("feed %s: late answer of another host to the first packet", text)
					}
					echo = p.echo // the last echo received on the flow
				case p.flags&flagRST != 0:
					if d := int32(p.seq - theirs); d > 76800 || d < -76800 {
						c.rec.line("feed %s ignores a reset out of its window", text)
						continue
					}
					c.rec.flowReset(text, host, p.src == service && p.flags == flagRST, opened)
					return
				case len(p.data) > 0 && p.seq == theirs:
					echo, theirs = p.echo, theirs+uint32(len(p.data))
					mine += uint32(len(text))
					c.rec.outcome(text, string(p.data))
					if string(p.data[:3]) == "200" {
						host = string(p.data)
					}
					answered = true
				}
			case <-time.After(wait):
				if time.Since(sentAt) > 4*time.Second {
					c.rec.outcome(text, "time budget passed")
					return
				}
				wait = min(2*wait, resendLongest)
				data.echo = echo
				send(data)
			}
		}
		send(packet{seq: mine, ack: theirs, flags: flagACK, echo: echo})
		for until := time.After(pause); until != nil; {
			select {
			case p := <-in:
				switch {
				case p.flags&flagSYN != 0:
					echo = p.echo // the last echo received on the flow
					c.rec.line("feed %s: late answer of another host to the first packet", text)
				case p.flags&flagRST != 0:
					c.rec.flowReset(text, host, p.src == service && p.flags == flagRST, opened)
					return
				}
			case <-until:
				until = nil
			}
		}
	}
	send(packet{seq: mine, ack: theirs, flags: flagACK | flagFIN, echo: echo})
}
