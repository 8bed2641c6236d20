package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	openTimeout = 1400 * time.Millisecond
	maxAckSkew  = 76800 // largest distance of a reset's seq from the last ack
	retries     = 2
)

// requester stands in for the requesters of a zone, which share an address.
type requester struct {
	w    *world
	zone string
	addr netip.Addr
	conn *net.UDPConn

	mu    sync.Mutex
	port  uint16
	flows map[uint16]*flow
}

// flow is the requester's end of a flow.
type flow struct {
	r            *requester
	key          flowKey
	in           chan *packet
	seq, ack     uint32
	echo         uint32
	openedAt     time.Time
	lastPacketAt time.Time
}

// outcome is what a requester knows of an attempt.
type outcome string

const (
	answered  outcome = "answered"
	notOpened outcome = "not opened" // it has not run
	notRun    outcome = "not run"
	reset     outcome = "reset"
	timedOut  outcome = "timed out"
)

func newRequester(w *world, zone string, addr netip.Addr) (*requester, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, packetPort)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	r := &requester{w: w, zone: zone, addr: addr, conn: conn, port: 1024, flows: make(map[uint16]*flow)}
	go r.receive()
	return r, nil
}

func (r *requester) receive() {
	buf := make([]byte, 4096)
	for {
		n, _, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		r.mu.Lock()
		f := r.flows[p.dst.Port()]
		r.mu.Unlock()
		if f == nil || f.key.service != p.src {
			continue
		}
		if p.sum != p.keyedSum() && (p.sum != 0 || p.flags != flagRST || len(p.data) > 0) {
			r.w.record.breaks("MIXED", "%s got a packet that its sender didn't write so", p.dst)
			continue
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

// open opens a flow. It returns nil if no host answers or a reset arrives.
func (r *requester) open(service netip.AddrPort) *flow {
	r.mu.Lock()
	for r.port++; r.flows[r.port] != nil || r.port < 1024; r.port++ {
	}
	f := &flow{r: r, key: flowKey{netip.AddrPortFrom(r.addr, r.port), service}, in: make(chan *packet, 64), seq: rand.Uint32()}
	r.flows[r.port] = f
	r.mu.Unlock()
	began := time.Now()
	for copyNumber, until := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, openTimeout} {
		r.w.sent(f.key, copyNumber)
		f.write(&packet{seq: f.seq, ack: uint32(copyNumber), flags: flagSYN})
		for {
			p := f.next(began.Add(until))
			if p == nil {
				break
			}
			if p.has(flagRST) {
				f.forget()
				return nil
			}
			if p.has(flagSYN) && p.has(flagACK) && p.ack == f.seq+1 {
				f.seq++
				f.ack, f.echo = p.seq+1, p.echo
				f.openedAt = time.Now()
				f.write(&packet{seq: f.seq, ack: f.ack, flags: flagACK})
				return f
			}
		}
	}
	f.forget()
	return nil
}

// request sends one request and waits for its answer.
func (f *flow) request(id, method string, budget time.Duration) outcome {
	text := fmt.Sprintf("%s /run HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", method, f.key.service.Addr(), id)
	f.r.w.record.event("sent", "%s on %s to %s", id, f.key.requester, f.key.service)
	deadline := time.Now().Add(budget)
	end := f.seq + uint32(len(text))
	var response strings.Builder
	for wait := resendAfter; time.Now().Before(deadline); wait = min(2*wait, maxResendPeriod) {
		f.write(&packet{seq: f.seq, ack: f.ack, flags: flagACK, data: []byte(text)})
		resend := time.Now().Add(wait)
		for {
			p := f.next(earlier(resend, deadline))
			if p == nil {
				break
			}
			if p.has(flagRST) {
				if f.onReset(p) {
					return reset
				}
				continue
			}
			if len(p.data) == 0 || p.seq != f.ack {
				continue
			}
			f.echo = p.echo
			f.ack += uint32(len(p.data))
			f.seq = end
			f.write(&packet{seq: f.seq, ack: f.ack, flags: flagACK})
			response.Write(p.data)
			return f.check(id, response.String())
		}
	}
	f.forget()
	return timedOut
}

// check checks the answer to the request id.
func (f *flow) check(id, text string) outcome {
	head, body, _ := strings.Cut(text, "\r\n\r\n")
	if strings.Contains(head, "X-Not-Run") {
		return notRun
	}
	if headerOf(head, "X-Request-Id") != id || body != id || !strings.HasPrefix(head, "HTTP/1.1 200") {
		f.r.w.record.breaks("MIXED", "%s got another answer: %q", id, text)
	}
	return answered
}

// pause waits for d and reports whether the flow is still open then.
func (f *flow) pause(d time.Duration) bool {
	until := time.Now().Add(d)
	for {
		p := f.next(until)
		if p == nil {
			return true
		}
		if p.has(flagRST) && f.onReset(p) {
			return false
		}
		if len(p.data) > 0 { // the answer was sent again
			f.write(&packet{seq: f.seq, ack: f.ack, flags: flagACK})
		}
	}
}

// finish closes the flow.
func (f *flow) finish() {
	f.write(&packet{seq: f.seq, ack: f.ack, flags: flagACK | flagFIN})
	f.next(time.Now().Add(100 * time.Millisecond))
	f.forget()
}

// onReset reports whether the reset p ends the flow, and checks rule FLOW.
func (f *flow) onReset(p *packet) bool {
	if d := int32(p.seq - f.ack); d > maxAckSkew || d < -maxAckSkew {
		return false
	}
	w := f.r.w
	by := "its host"
	if p.sum == 0 {
		by = "the system"
	}
	h, v := w.holder(f.key)
	if p.sum != 0 || h == nil {
		w.record.event("reset", "%s by %s", f.key.requester, by)
		f.forget()
		return true
	}
	holds, calm := h.holds(v, f.key)
	age, idle, inTouch := time.Since(f.openedAt), time.Since(f.lastPacketAt), w.inTouch()
	w.record.event("reset", "%s by %s: host %s holds the flow=%v, without impairment for %v, flow open for %v, instances in touch=%v",
		f.key.requester, by, h.id, holds, calm.Round(time.Millisecond), age.Round(time.Millisecond), inTouch)
	if holds && calm >= stableWindow && inTouch && age < maxFlow && idle < idleTimeout {
		w.record.breaks("FLOW", "%s got a reset that its host %s didn't send; the host has held the flow for %v, and it and all machines have been without impairment for %v",
			f.key.requester, h.id, age.Round(time.Millisecond), calm.Round(time.Millisecond))
	}
	f.forget()
	return true
}

func (f *flow) write(p *packet) {
	p.src, p.dst, p.echo = f.key.requester, f.key.service, f.echo
	f.lastPacketAt = time.Now()
	f.r.w.routers.send(f.r.zone, p)
}

// next returns the next packet of the flow, or nil if none arrives before until.
func (f *flow) next(until time.Time) *packet {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case p := <-f.in:
		return p
	case <-t.C:
		return nil
	}
}

func (f *flow) forget() {
	f.r.mu.Lock()
	defer f.r.mu.Unlock()
	if f.r.flows[f.key.requester.Port()] == f {
		delete(f.r.flows, f.key.requester.Port())
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// once makes one request on a flow of its own. An unsafe request is tried again only if
// it has certainly not run.
func (r *requester) once(service netip.AddrPort, safe bool, budget time.Duration) {
	method := "POST"
	if safe {
		method = "GET"
	}
	for range 1 + retries {
		id := r.w.newID()
		f := r.open(service)
		o := notOpened
		if f != nil {
			o = f.request(id, method, budget)
		}
		r.w.record.event(string(o), "%s", id)
		if o == answered {
			f.finish()
			return
		}
		if o == notRun {
			f.finish()
		}
		if !safe && o != notRun && o != notOpened {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// feed keeps flows open for several requests each, with pauses between them.
func (r *requester) feed(service netip.AddrPort, requests int, pause func() time.Duration, budget time.Duration) {
	time.Sleep(time.Duration(rand.Int64N(int64(6 * time.Second))))
	for !r.w.stopped() {
		f := r.open(service)
		if f == nil {
			r.w.record.event(string(notOpened), "a feed of %s", r.zone)
			time.Sleep(50 * time.Millisecond)
			continue
		}
		alive := true
		for n := 0; alive && n < requests && !r.w.stopped(); n++ {
			id := r.w.newID()
			o := f.request(id, "GET", budget)
			r.w.record.event(string(o), "%s", id)
			alive = (o == answered || o == notRun) && f.pause(pause())
		}
		if alive {
			f.finish()
		}
	}
}
