package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/io/caller"
	"carawaycart/io/endpoint"
)

const (
	reportLag     = 300 * time.Millisecond
	reportHistory = 100 * time.Millisecond
	coldGrace     = 1500 * time.Millisecond // the balancer cannot know at once
	serviceTime   = 15 * time.Millisecond   // to run one request
	hostBuffer    = 2048
)

// HostConfig describes an endpoint stand-in.
type HostConfig struct {
	ID             carawaycart.EndpointID
	Service        carawaycart.ServiceID
	ServiceAddress netip.AddrPort
	Zone           carawaycart.ZoneID
	Flows          int // connections that it can hold
	Slots          int // requests that it can run at once
	ColdFlows      int // new flows that it bears while cold
	ColdRequests   int // requests that it bears at once while cold
}

// Host is a stand-in for an endpoint: one host of a service, with request slots
// and a connection limit, which starts cold and sheds what it has no room for.
type Host struct {
	config HostConfig
	ledger *Ledger
	fabric *Fabric
	conn   *net.UDPConn
	server *http.Server
	http   net.Listener

	mu         sync.Mutex
	flows      map[netip.AddrPort]bool // established, by caller
	coldSince  time.Time
	coldUntil  time.Time
	coldOpened int
	requests   int
	silent     bool
	mislead    func(*carawaycart.Report)
	reports    []timedReport

	done sync.WaitGroup
	quit chan struct{}
}

type timedReport struct {
	report carawaycart.Report
	time   time.Time
}

// NewHost returns a running host on free ports of address, an IP number.
func NewHost(c HostConfig, address string, l *Ledger, f *Fabric) (*Host, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "address of host %s", c.ID)
	}
	conn, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for host %s", c.ID)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Annotatef(err, "listen for host %s", c.ID)
	}
	h := &Host{
		config: c, ledger: l, fabric: f, conn: conn, http: listener,
		flows: make(map[netip.AddrPort]bool), quit: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", h.load)
	mux.HandleFunc("/", h.serve)
	h.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	h.done.Go(func() { _ = h.server.Serve(listener) })
	h.done.Go(h.receive)
	h.done.Go(h.sample)
	return h, nil
}

// Endpoint returns the configuration object that describes the host.
func (h *Host) Endpoint() carawaycart.Endpoint {
	return carawaycart.Endpoint{
		ID: h.config.ID, Service: h.config.Service, Zone: h.config.Zone,
		FlowAddress:    h.conn.LocalAddr().(*net.UDPAddr).AddrPort(),
		RequestAddress: h.http.Addr().(*net.TCPAddr).AddrPort(),
		Flows:          h.config.Flows, Slots: h.config.Slots,
	}
}

// Close stops the host.
func (h *Host) Close() {
	close(h.quit)
	_ = h.conn.Close()
	_ = h.server.Close()
	h.done.Wait()
}

// TurnCold makes the host cold for d; its established flows go on.
func (h *Host) TurnCold(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.coldSince = time.Now()
	h.coldUntil = h.coldSince.Add(d)
	h.coldOpened = 0
}

// SetSilent starts or ends a silence of the host's reports.
func (h *Host) SetSilent(silent bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.silent = silent
}

// SetMislead lets change alter every report before it is sent; nil ends that.
func (h *Host) SetMislead(change func(*carawaycart.Report)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.mislead = change
}

// Flows returns how many flows are established.
func (h *Host) Flows() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.flows)
}

// Zone returns the availability zone of the host.
func (h *Host) Zone() carawaycart.ZoneID { return h.config.Zone }

func (h *Host) cold(now time.Time) bool { return now.Before(h.coldUntil) }

// mustBeSpared reports whether the cold host has been so for long enough that the
// balancer must know.
func (h *Host) mustBeSpared(now time.Time) bool {
	return h.cold(now) && now.Sub(h.coldSince) >= coldGrace
}

func (h *Host) receive() {
	var d segmentDecoder
	buffer := make([]byte, hostBuffer)
	for {
		n, err := h.conn.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s, err := d.decode(buffer[:n])
		if err != nil {
			continue
		}
		h.handle(&s, time.Now())
	}
}

func (h *Host) handle(s *Segment, now time.Time) {
	if s.Destination != h.config.ServiceAddress {
		h.ledger.Count(func(t *Totals) { t.PacketsToWrongService++ })
		return
	}
	if h.ledger.marked(string(h.config.Zone), now) {
		h.ledger.Count(func(t *Totals) { t.PacketsAfterZoneOut++ })
	}
	h.fabric.deliver(s.Source, h.answer(s, now))
}

// answer takes in a segment and returns what the caller is sent.
func (h *Host) answer(s *Segment, now time.Time) reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.flows[s.Source]
	switch {
	case s.SYN && !known:
		if !h.open(s.Source, now) {
			return reply{host: h.config.ID, rst: true}
		}
		return reply{host: h.config.ID, syn: true}
	case s.SYN:
		return reply{host: h.config.ID, syn: true}
	case s.FIN || s.RST:
		delete(h.flows, s.Source)
		return reply{host: h.config.ID, number: s.Number}
	case !known:
		return reply{host: h.config.ID, rst: true}
	}
	return reply{host: h.config.ID, number: s.Number}
}

func (h *Host) open(caller netip.AddrPort, now time.Time) bool {
	if h.ledger.marked(string(h.config.ID), now) {
		h.ledger.Count(func(t *Totals) { t.WorkAfterLeave++ })
	}
	if len(h.flows) >= h.config.Flows {
		return false
	}
	if h.cold(now) {
		h.coldOpened++
		if h.coldOpened > h.config.ColdFlows {
			if h.mustBeSpared(now) {
				h.ledger.Count(func(t *Totals) { t.ColdOverload++ })
			}
			return false
		}
	}
	h.flows[caller] = true
	return true
}

// sample keeps the reports of the last moments, so that they can lag.
func (h *Host) sample() {
	ticker := time.NewTicker(reportHistory)
	defer ticker.Stop()
	for {
		select {
		case <-h.quit:
			return
		case now := <-ticker.C:
			h.mu.Lock()
			h.reports = append(h.reports, timedReport{
				report: carawaycart.Report{Flows: len(h.flows), Requests: h.requests, Cold: h.cold(now)},
				time:   now,
			})
			for len(h.reports) > 1 && now.Sub(h.reports[1].time) >= reportLag {
				h.reports = h.reports[1:]
			}
			h.mu.Unlock()
		}
	}
}

func (h *Host) load(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	silent := h.silent
	report := carawaycart.Report{Cold: h.cold(time.Now())}
	if len(h.reports) > 0 {
		report = h.reports[0].report
	}
	if h.mislead != nil {
		h.mislead(&report)
	}
	h.mu.Unlock()
	if silent {
		http.Error(w, "silent", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, report)
}

// OrderAnswer is a host's answer to a request.
type OrderAnswer struct {
	Key  carawaycart.IdempotencyKey `json:"key"`
	Host carawaycart.EndpointID     `json:"host"`
	Size int                        `json:"size"`
}

func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if r.Host != string(h.config.Service) {
		h.ledger.Count(func(t *Totals) { t.PacketsToWrongService++ })
	}
	if !h.inTime(r) || !h.admit(now) {
		w.Header().Set(endpoint.NotRunHeader, "1")
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	}
	defer h.finish()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := carawaycart.IdempotencyKey(r.Header.Get(caller.KeyHeader))
	if r.Method == http.MethodPost && key != "" {
		h.ledger.run(key)
	}
	if !work(r.Context()) {
		return // the caller has gone; the order counts as run all the same
	}
	answer := OrderAnswer{Key: key, Host: h.config.ID, Size: len(body)}
	data, err := json.Marshal(answer)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// inTime reports whether the request can be run within the time that its caller
// will wait.
func (h *Host) inTime(r *http.Request) bool {
	text := r.Header.Get(caller.TimeoutHeader)
	if text == "" {
		return true
	}
	ms, err := strconv.Atoi(text)
	return err == nil && time.Duration(ms)*time.Millisecond >= serviceTime
}

// work takes serviceTime and reports whether it was not cancelled.
func work(ctx context.Context) bool {
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// admit takes a slot, or sheds the request.
func (h *Host) admit(now time.Time) bool {
	if h.ledger.marked(string(h.config.ID), now) {
		h.ledger.Count(func(t *Totals) { t.WorkAfterLeave++ })
	}
	if h.ledger.marked(string(h.config.Zone), now) {
		h.ledger.Count(func(t *Totals) { t.PacketsAfterZoneOut++ })
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := h.config.Slots
	if h.cold(now) {
		limit = min(limit, h.config.ColdRequests)
	}
	if h.requests >= limit {
		overload := h.mustBeSpared(now)
		h.ledger.Count(func(t *Totals) {
			t.RequestsShed++
			if overload {
				t.ColdOverload++
			}
		})
		return false
	}
	h.requests++
	return true
}

func (h *Host) finish() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.requests--
}
