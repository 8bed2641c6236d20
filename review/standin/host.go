package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	hostQueue       = 8 // requests that wait for a slot
	resendAfter     = 200 * time.Millisecond
	maxResendPeriod = 1600 * time.Millisecond
	hostResends     = 8
	silentBeats     = 3 // liveness report intervals after which an entry is removed
)

// life is one lifetime of a host.
type life struct {
	born      int64 // Unix milliseconds
	startedAt time.Time
	coldUntil time.Time
	conn      *net.UDPConn
	health    *http.Server
	flows     map[flowKey]*hostFlow
	pending   int
	slots     chan struct{}
	ended     chan struct{}
}

// flowKey identifies a flow by its requester's and its service's address.
type flowKey struct{ requester, service netip.AddrPort }

// hostFlow is the host's end of a flow.
type hostFlow struct {
	key        flowKey
	isn        uint32
	expected   uint32 // next byte of the requester
	next       uint32 // next byte to the requester
	acked      uint32
	echo       uint32
	open       bool
	synSent    time.Time // when the requester sent the opening packet
	synArrived time.Time
}

// host stands in for a host of a service.
type host struct {
	w       *world
	id      string
	number  uint64
	service string
	zone    string
	addr    netip.AddrPort

	mu           sync.Mutex
	life         *life
	state        string
	cut          bool      // whether it is partitioned from the store
	lastBeat     time.Time // when it last wrote to the store
	lastImpaired time.Time // end of the last impairment on it
	forbidden    time.Time // when new flows break a rule; zero if never
	forbidRule   string
	coldOpens    []opening // opening packets of flows taken while cold
	opens        int
}

// opening is an opening packet that a host took.
type opening struct{ sent, arrived time.Time }

func newHost(w *world, n int, service, zone string, addr netip.AddrPort) *host {
	number := uint64(0x10a0c30000) + uint64(n)
	return &host{w: w, id: fmt.Sprintf("i-%010x", number), number: number, service: service, zone: zone, addr: addr, state: "ready"}
}

// start begins a lifetime, which is cold for the given time, and writes the host's entry.
func (h *host) start(cold time.Duration) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(h.addr))
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", h.addr.String())
	if err != nil {
		return err
	}
	now := time.Now()
	v := &life{
		born: now.UnixMilli(), startedAt: now, coldUntil: now.Add(cold), conn: conn, flows: make(map[flowKey]*hostFlow),
		slots: make(chan struct{}, h.w.slots), ended: make(chan struct{}),
	}
	v.health = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { h.serveHealth(v, w) })}
	h.mu.Lock()
	h.life, h.state, h.coldOpens = v, "ready", nil
	h.mu.Unlock()
	go func() { _ = v.health.Serve(l) }()
	go h.receive(v)
	h.beat()
	return nil
}

// crash ends the lifetime at once; the host sends nothing.
func (h *host) crash() {
	h.mu.Lock()
	v := h.life
	h.life = nil
	h.lastImpaired = time.Now()
	h.mu.Unlock()
	close(v.ended)
	_ = v.conn.Close()
	_ = v.health.Close()
}

// serveHealth answers a status check, which occupies a slot.
func (h *host) serveHealth(v *life, w http.ResponseWriter) {
	v.slots <- struct{}{}
	time.Sleep(time.Millisecond)
	<-v.slots
	h.mu.Lock()
	state := h.state
	h.mu.Unlock()
	w.Header().Set("X-Instance-Id", h.id)
	w.Header().Set("Content-Type", "application/json")
	if state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"id": h.id, "born": v.born})
}

// beat writes the host's entry, as a liveness report. The entry changes when more than seq
// does.
func (h *host) beat() {
	h.mu.Lock()
	v, cut := h.life, h.cut
	if v == nil || cut {
		h.mu.Unlock()
		return
	}
	h.lastBeat = time.Now()
	entry := h.entry(v)
	h.mu.Unlock()
	key := "servers/" + h.id
	var stored map[string]any
	if old := h.w.store.get(key); old != nil && json.Unmarshal(old, &stored) == nil {
		var own map[string]any
		_ = json.Unmarshal(encodeJSON(entry), &own)
		stored["seq"], own["seq"] = nil, nil
		if bytes.Equal(encodeJSON(stored), encodeJSON(own)) {
			return
		}
	}
	revision := h.w.store.put(key, encodeJSON(entry))
	h.w.record.event("entry", "%s revision %d %s", h.id, revision, encodeJSON(entry))
}

// entry returns the host's entry in the store. h.mu must be held.
func (h *host) entry(v *life) map[string]any {
	h.w.seq++
	return map[string]any{
		"service": h.service, "address": h.addr.String(), "zone": h.zone, "version": "v1", "slots": h.w.slots,
		"state": h.state, "cold_left_ms": max(time.Until(v.coldUntil), 0).Milliseconds(), "seq": h.w.seq, "born": v.born,
	}
}

// maintain writes liveness reports until the end, and removes the entry of a host that has
// been silent for three intervals, as the platform does.
func (h *host) maintain() {
	offset := time.Duration(rand.Int64N(int64(beatPeriod)))
	time.Sleep(offset)
	for {
		h.beat()
		h.mu.Lock()
		silent := time.Since(h.lastBeat)
		h.mu.Unlock()
		if silent > silentBeats*beatPeriod && h.w.store.get("servers/"+h.id) != nil {
			h.w.store.remove("servers/" + h.id)
			h.w.record.event("lapsed", "%s", h.id)
			h.mu.Lock()
			if h.cut && h.forbidRule != "" {
				h.forbidden = time.Now().Add(drainBound)
			}
			h.mu.Unlock()
		}
		select {
		case <-h.w.stop:
			return
		case <-time.After(beatPeriod):
		}
	}
}

func (h *host) receive(v *life) {
	buf := make([]byte, 4096)
	for {
		n, _, err := v.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			select {
			case <-v.ended:
				return
			default:
				continue
			}
		}
		if n < 8 {
			continue
		}
		if to := binary.BigEndian.Uint64(buf); to != 0 && to != h.number {
			h.w.record.event("stray", "%s got a packet for host number %x", h.id, to)
			continue
		}
		p, ok := decode(buf[8:n])
		if !ok || p.sum != p.keyedSum() || p.has(flagSYN) && p.has(flagACK) {
			h.w.record.breaks("UNASKED", "%s got a packet that its sender didn't write so", h.id)
			continue
		}
		h.handle(v, p)
	}
}

func (h *host) handle(v *life, p *packet) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life != v {
		return
	}
	key := flowKey{p.src, p.dst}
	f := v.flows[key]
	switch {
	case p.has(flagSYN):
		if f == nil {
			isn := rand.Uint32()
			f = &hostFlow{key: key, isn: isn, next: isn + 1, acked: isn + 1, expected: p.seq + 1, synSent: h.w.sentAt(key, p.ack), synArrived: now}
			v.flows[key] = f
		}
		f.echo = p.echo
		h.send(v, f, &packet{seq: f.isn, ack: f.expected, flags: flagSYN | flagACK})
	case f == nil:
		if !p.has(flagRST) {
			h.write(v, &packet{src: p.dst, dst: p.src, seq: p.ack, flags: flagRST, echo: p.echo})
		}
	case p.has(flagRST):
		delete(v.flows, key)
		h.w.closed(key)
	case !f.open && p.ack != f.isn+1:
		// The requester acknowledges another host's answer.
	default:
		if !f.open {
			f.open = true
			h.opened(v, f, now)
		}
		h.handleOpen(v, f, p)
	}
}

// opened checks the rules that are judged by the opening packet that a host took. h.mu must
// be held.
func (h *host) opened(v *life, f *hostFlow, now time.Time) {
	h.opens++
	cold := f.synArrived.Before(v.coldUntil)
	h.w.open(f.key, h, v)
	h.w.record.event("opened", "%s at %s of %s cold=%v", f.key.requester, h.id, h.service, cold)
	if !h.forbidden.IsZero() && f.synSent.After(h.forbidden) {
		h.w.record.breaks(h.forbidRule, "%s of zone %s took the flow of %s, sent %v after the bound", h.id, h.zone, f.key.requester, f.synSent.Sub(h.forbidden).Round(time.Millisecond))
	}
	if !cold {
		return
	}
	h.coldOpens = append(h.coldOpens, opening{f.synSent, f.synArrived})
	n := 0
	for _, o := range h.coldOpens {
		if d := f.synArrived.Sub(o.sent); d >= 0 && d < time.Second && !o.arrived.After(f.synArrived) {
			n++
		}
	}
	if limit := h.w.coldPerSecond*coldOverrun + coldSlack; float64(n) > limit {
		h.w.record.breaks("FAILBACK", "%s, cold for %v more, took %d new flows that were sent and arrived within a second; it bears %v", h.id, time.Until(v.coldUntil).Round(time.Millisecond), n, limit)
	}
}

func (h *host) handleOpen(v *life, f *hostFlow, p *packet) {
	f.echo = p.echo
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	if len(p.data) > 0 {
		if p.seq == f.expected {
			f.expected += uint32(len(p.data))
			h.enqueue(v, f, string(p.data))
		}
		h.send(v, f, &packet{seq: f.next, ack: f.expected, flags: flagACK})
	}
	if p.has(flagFIN) {
		h.send(v, f, &packet{seq: f.next, ack: p.seq + 1, flags: flagACK | flagFIN})
		delete(v.flows, f.key)
		h.w.closed(f.key)
	}
}

// enqueue runs a request once a slot is free, and answers it. h.mu must be held.
func (h *host) enqueue(v *life, f *hostFlow, text string) {
	id := headerOf(text, "X-Request-Id")
	if v.pending >= cap(v.slots)+hostQueue {
		h.respond(v, f, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Request-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
		return
	}
	v.pending++
	go func() {
		v.slots <- struct{}{}
		h.mu.Lock()
		runs := h.life == v && v.flows[f.key] == f
		h.mu.Unlock()
		if runs {
			h.w.ran(id, h, f.key)
			time.Sleep(h.w.work)
		}
		<-v.slots
		h.mu.Lock()
		defer h.mu.Unlock()
		v.pending--
		if h.life == v && v.flows[f.key] == f {
			h.respond(v, f, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Server-Stamp: %s/%d/%s\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", h.id, v.born, id, id, len(id), id))
		}
	}()
}

// respond sends text and sends it again until it is acknowledged. h.mu must be held.
func (h *host) respond(v *life, f *hostFlow, text string) {
	p := packet{seq: f.next, ack: f.expected, flags: flagACK, data: []byte(text)}
	f.next += uint32(len(text))
	end := f.next
	h.send(v, f, &p)
	go func() {
		for i, wait := 0, resendAfter; i < hostResends; i, wait = i+1, min(2*wait, maxResendPeriod) {
			select {
			case <-v.ended:
				return
			case <-time.After(wait):
			}
			h.mu.Lock()
			done := h.life != v || v.flows[f.key] != f || int32(f.acked-end) >= 0
			if !done {
				again := p
				h.send(v, f, &again)
			}
			h.mu.Unlock()
			if done {
				return
			}
		}
	}()
}

func (h *host) send(v *life, f *hostFlow, p *packet) {
	p.src, p.dst, p.echo = f.key.service, f.key.requester, f.echo
	h.write(v, p)
}

// write sends p directly to the requester.
func (h *host) write(v *life, p *packet) {
	_, _ = v.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(p.dst.Addr(), packetPort))
}

// turnCold makes the host cold for d, without an end of its lifetime.
func (h *host) turnCold(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.life.coldUntil = time.Now().Add(d)
	h.coldOpens = nil
}

// holds reports whether the host, in lifetime v, holds the flow, and for how long the host
// has been without impairment.
func (h *host) holds(v *life, key flowKey) (bool, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.life != v || v.flows[key] == nil || !v.flows[key].open {
		return false, 0
	}
	calmSince := h.lastImpaired
	if v.startedAt.After(calmSince) {
		calmSince = v.startedAt
	}
	return true, time.Since(calmSince)
}

func headerOf(text, name string) string {
	for _, line := range strings.Split(text, "\r\n") {
		if k, v, ok := strings.Cut(line, ": "); ok && k == name {
			return v
		}
	}
	return ""
}

func encodeJSON(v any) []byte {
	b, _ := json.Marshal(v)
	return b
}
