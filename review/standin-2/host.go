package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat     = 1200 * time.Millisecond
	coldTime      = 2000 * time.Millisecond // cold_start_s
	coldFactor    = 1.6                     // how much slower a cold host works
	hostSlots     = 2
	hostQueue     = 8
	resendFirst   = 200 * time.Millisecond
	resendLongest = 1600 * time.Millisecond
	resendsHost   = 8
)

type flowKey struct{ caller, service netip.AddrPort }

// hostFlow is a flow that a host holds.
type hostFlow struct {
	own, next uint32 // own sequence number, next one expected of the caller
	sendNext  uint32 // next own sequence number
	echo      uint32
	opened    bool
	ended     bool
	answer    []byte // last response, until it is acknowledged
	answerSeq uint32
	sentAt    time.Time
	resends   int
	acked     bool
	firstAt   time.Time // arrival of the opening packet
	counted   bool      // whether a request on it has run
}

// loss drops a share of the datagrams.
type loss struct{ share atomic.Uint64 } // in millionths

func (l *loss) set(share float64) { l.share.Store(uint64(share * 1e6)) }

func (l *loss) drop() bool { return rand.Uint64N(1e6) < l.share.Load() }

// host is a stand-in of a host: a UDP port for packets of flows and a TCP port for status
// checks at the same address, and an entry in the store.
type host struct {
	id, service, zone string
	address           netip.AddrPort
	number            uint64
	callerPort        uint16
	workTime          time.Duration
	st                *store
	rec               *recorder

	mu        sync.Mutex
	born      int64
	coldUntil time.Time
	flows     map[flowKey]*hostFlow
	busy      int
	waiting   []func()
	draining  bool
	stopped   bool
	loss      *loss
	cut       bool // whether it cannot reach the store
	lastBeat  time.Time
	entry     string // what it wrote last, without seq
	seq       int
	lifetime  int
	udp       *net.UDPConn
	tcp       net.Listener
}

// start opens the sockets and starts a lifetime. A cold one is cold for coldTime.
func (h *host) start(cold bool) error {
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.address))
	if err != nil {
		return err
	}
	tcp, err := net.Listen("tcp4", h.address.String())
	if err != nil {
		_ = udp.Close()
		return err
	}
	h.mu.Lock()
	h.udp, h.tcp = udp, tcp
	h.born, h.flows, h.busy, h.waiting, h.stopped, h.draining, h.seq, h.entry = time.Now().UnixMilli(), make(map[flowKey]*hostFlow), 0, nil, false, false, 0, ""
	h.coldUntil = time.Time{}
	if cold {
		h.coldUntil = time.Now().Add(coldTime)
	}
	h.lifetime++
	lifetime := h.lifetime
	h.mu.Unlock()
	if cold {
		h.rec.coldHost(h.id, time.Now(), coldTime)
	}
	go h.read(udp, lifetime)
	mux := http.NewServeMux()
	mux.HandleFunc("/health", func(w http.ResponseWriter, _ *http.Request) {
		h.mu.Lock()
		ok, born := !h.draining, h.born
		h.mu.Unlock()
		w.Header().Set("X-Instance-Id", h.id)
		w.Header().Set("Content-Type", "application/json")
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = fmt.Fprintf(w, `{"born":%d}`, born)
	})
	go func() { _ = http.Serve(tcp, mux) }()
	go h.maintain(lifetime)
	return nil
}

// crash ends the lifetime: all flows are forgotten and nothing listens.
func (h *host) crash() {
	h.mu.Lock()
	h.stopped = true
	h.lifetime++
	h.flows = make(map[flowKey]*hostFlow)
	udp, tcp := h.udp, h.tcp
	h.mu.Unlock()
	_ = udp.Close()
	_ = tcp.Close()
}

// turnCold makes a host that runs cold from now on.
func (h *host) turnCold() {
	h.mu.Lock()
	h.coldUntil = time.Now().Add(coldTime)
	h.mu.Unlock()
	h.rec.coldHost(h.id, time.Now(), coldTime)
	h.beat()
}

func (h *host) setCut(cut bool) {
	h.mu.Lock()
	h.cut = cut
	h.mu.Unlock()
	if !cut {
		h.beat()
	}
}

// beat reports to the store. The item changes only if more than seq does.
func (h *host) beat() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cut || h.stopped {
		return
	}
	state := "ready"
	if h.draining {
		state = "draining"
	}
	left := max(time.Until(h.coldUntil).Milliseconds(), 0)
	h.seq++
	h.lastBeat = time.Now()
	entry := fmt.Sprint(state, left, h.born)
	h.st.mu.Lock()
	present := h.st.items["servers/"+h.id] != nil
	h.st.mu.Unlock()
	if entry == h.entry && present {
		return
	}
	h.entry = entry
	h.st.put("servers/"+h.id, map[string]any{
		"service": h.service, "address": h.address.String(), "zone": h.zone, "version": "v1", "slots": hostSlots, "state": state,
		"cold_left_ms": left, "seq": h.seq, "born": h.born,
	})
}

// maintain sends liveness reports and resends responses.
func (h *host) maintain(lifetime int) {
	h.beat()
	next := time.Now().Add(heartbeat)
	for {
		time.Sleep(10 * time.Millisecond)
		h.mu.Lock()
		if h.lifetime != lifetime {
			h.mu.Unlock()
			return
		}
		for k, f := range h.flows {
			if !f.opened && time.Since(f.sentAt) > min(resendFirst<<f.resends, resendLongest) {
				if f.resends++; f.resends > resendsHost {
					delete(h.flows, k)
					continue
				}
				f.sentAt = time.Now()
				h.send(k, packet{seq: f.own, ack: f.next, flags: flagSYN | flagACK, echo: f.echo})
			}
			if f.answer != nil && !f.acked && time.Since(f.sentAt) > min(resendFirst<<f.resends, resendLongest) {
				if f.resends++; f.resends > resendsHost {
					delete(h.flows, k)
					continue
				}
				f.sentAt = time.Now()
				h.send(k, packet{seq: f.answerSeq, ack: f.next, flags: flagACK, echo: f.echo, data: f.answer})
			}
		}
		h.mu.Unlock()
		if time.Now().After(next) {
			next = next.Add(heartbeat)
			h.beat()
		}
	}
}

// send sends p to the caller of the flow k. h.mu must be held.
func (h *host) send(k flowKey, p packet) {
	p.src, p.dst = k.service, k.caller
	if h.loss.drop() {
		h.rec.line("lost: packet of host %s to %s, flags %d", h.id, k.caller, p.flags)
		return
	}
	_, _ = h.udp.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(k.caller.Addr(), h.callerPort))
}

func (h *host) read(conn *net.UDPConn, lifetime int) {
	b := make([]byte, 2048)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		if number := binary.BigEndian.Uint64(b); number != 0 && number != h.number {
			h.rec.line("host %s: packet for host %x", h.id, number)
			continue
		}
		p, valid, _ := decode(b[8:n])
		if h.loss.drop() {
			h.rec.line("lost: packet of %s to host %s, flags %d", p.src, h.id, p.flags)
			continue
		}
		if !valid {
			h.rec.line("host %s: packet that its sender did not write so", h.id)
			h.rec.fail("UNASKED", "host %s got a packet with a wrong sum", h.id)
			continue
		}
		h.mu.Lock()
		if h.lifetime == lifetime {
			h.handle(&p, lifetime)
		}
		h.mu.Unlock()
	}
}

// handle handles a packet of a flow. h.mu must be held.
func (h *host) handle(p *packet, lifetime int) {
	k := flowKey{p.src, p.dst}
	f := h.flows[k]
	if p.flags&flagSYN != 0 {
		if f == nil {
			f = &hostFlow{own: rand.Uint32(), next: p.seq + 1, firstAt: time.Now()}
			f.sendNext = f.own + 1
			h.flows[k] = f
		}
		f.echo, f.sentAt = p.echo, time.Now()
		h.send(k, packet{seq: f.own, ack: f.next, flags: flagSYN | flagACK, echo: f.echo})
		return
	}
	if p.flags&flagRST != 0 {
		delete(h.flows, k)
		return
	}
	if f == nil || !f.opened && p.ack != f.own+1 {
		if f == nil || p.ack != f.own+1 {
			h.rec.line("host %s: resets flow %s, which it does not hold", h.id, k.caller)
			h.send(k, packet{seq: p.ack, ack: p.seq, flags: flagRST | flagACK, echo: p.echo})
		}
		return
	}
	f.opened, f.echo = true, p.echo
	if f.answer != nil && p.ack == f.answerSeq+uint32(len(f.answer)) {
		f.acked = true
	}
	if len(p.data) > 0 {
		if f.ended {
			h.send(k, packet{seq: p.ack, ack: p.seq, flags: flagRST | flagACK, echo: p.echo})
			return
		}
		if p.seq == f.next {
			f.next += uint32(len(p.data))
			f.answer, f.acked, f.resends = nil, false, 0
			h.request(k, f, string(p.data), lifetime)
		} else if f.answer != nil {
			h.send(k, packet{seq: f.answerSeq, ack: f.next, flags: flagACK, echo: f.echo, data: f.answer})
		} else {
			h.send(k, packet{seq: f.sendNext, ack: f.next, flags: flagACK, echo: f.echo})
		}
	}
	if p.flags&flagFIN != 0 {
		flags := byte(flagACK)
		if !f.ended {
			flags |= flagFIN
		}
		f.ended = true
		h.send(k, packet{seq: p.ack, ack: p.seq + 1, flags: flags, echo: f.echo})
	}
}

// request runs the request id, or queues it, or rejects it if the queue is full. h.mu must
// be held.
func (h *host) request(k flowKey, f *hostFlow, id string, lifetime int) {
	run := func() {
		h.busy++
		took := h.workTime
		if time.Now().Before(h.coldUntil) {
			took = time.Duration(float64(took) * coldFactor)
		}
		h.rec.run(id, h.id, f.firstAt, f.counted)
		f.counted = true
		time.AfterFunc(took, func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.lifetime != lifetime {
				return
			}
			h.busy--
			h.respond(k, f, "200 "+id+" "+h.id+" "+strconv.FormatInt(h.born, 10))
			if len(h.waiting) > 0 {
				next := h.waiting[0]
				h.waiting = h.waiting[1:]
				next()
			}
		})
	}
	switch {
	case h.busy < hostSlots:
		run()
	case len(h.waiting) < hostQueue:
		h.waiting = append(h.waiting, run)
	default:
		h.respond(k, f, "503 "+id+" not-run")
	}
}

// respond sends a response. h.mu must be held.
func (h *host) respond(k flowKey, f *hostFlow, text string) {
	f.answerSeq = f.sendNext
	f.sendNext += uint32(len(text))
	f.answer, f.sentAt, f.acked, f.resends = []byte(text), time.Now(), false, 0
	h.send(k, packet{seq: f.answerSeq, ack: f.next, flags: flagACK, echo: f.echo, data: f.answer})
}
