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
	reportDelay    = 300 * time.Millisecond // age of the load reports that an endpoint serves
	reportInterval = 100 * time.Millisecond // time between samples of the load
	// coldGrace is the time after which every instance must know that an endpoint is
	// cold. Instances learn of it with a delay, from the load reports.
	coldGrace          = 1500 * time.Millisecond
	serviceTime        = 15 * time.Millisecond // execution time of a request
	receiveBufferBytes = 2048
)

// EndpointConfig describes an emulated endpoint.
type EndpointConfig struct {
	ID             carawaycart.EndpointID
	Service        carawaycart.ServiceID
	ServiceAddress netip.AddrPort
	Zone           carawaycart.ZoneID
	MaxFlows       int // maximum number of established flows
	RequestSlots   int // maximum number of concurrent requests
	ColdFlows      int // maximum number of flows opened while cold
	ColdRequests   int // maximum number of concurrent requests while cold
}

// EmulatedEndpoint emulates an endpoint of a service. It rejects flows and requests
// beyond its limits, which are lower while it is cold.
type EmulatedEndpoint struct {
	config     EndpointConfig
	ledger     *Ledger
	fabric     *Fabric
	packetConn *net.UDPConn
	server     *http.Server
	http       net.Listener // accepts requests

	mu             sync.Mutex
	flows          map[netip.AddrPort]bool // established flows by caller
	coldSince      time.Time
	coldUntil      time.Time
	coldFlows      int // flows requested since coldSince, including those rejected for the cold limit
	activeRequests int // requests in progress
	reportsDown    bool
	reportHook     func(*carawaycart.LoadReport) // alters load reports; nil if unset
	reports        []timedReport                 // in order of time; the first is served

	done sync.WaitGroup
	quit chan struct{}
}

// timedReport is a load report and the time at which it was sampled.
type timedReport struct {
	report carawaycart.LoadReport
	time   time.Time
}

// NewEmulatedEndpoint starts an endpoint that listens for packets (UDP) and requests
// (TCP) on address, a host:port whose port may be 0.
func NewEmulatedEndpoint(c EndpointConfig, address string, l *Ledger, f *Fabric) (*EmulatedEndpoint, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "resolve address of endpoint %s", c.ID)
	}
	packetConn, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, errors.Annotatef(err, "listen for endpoint %s", c.ID)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		_ = packetConn.Close()
		return nil, errors.Annotatef(err, "listen for endpoint %s", c.ID)
	}
	h := &EmulatedEndpoint{
		config: c, ledger: l, fabric: f, packetConn: packetConn, http: listener,
		flows: make(map[netip.AddrPort]bool), quit: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", h.handleLoad)
	mux.HandleFunc("/", h.handleRequest)
	h.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	h.done.Go(func() { _ = h.server.Serve(listener) })
	h.done.Go(h.receive)
	h.done.Go(h.sampleReports)
	return h, nil
}

// Endpoint returns the configuration object that describes the endpoint.
func (h *EmulatedEndpoint) Endpoint() carawaycart.Endpoint {
	return carawaycart.Endpoint{
		ID: h.config.ID, Service: h.config.Service, Zone: h.config.Zone,
		FlowAddress:    h.packetConn.LocalAddr().(*net.UDPAddr).AddrPort(),
		RequestAddress: h.http.Addr().(*net.TCPAddr).AddrPort(),
		MaxFlows:       h.config.MaxFlows, RequestSlots: h.config.RequestSlots,
	}
}

// Close stops the endpoint and waits for its goroutines.
func (h *EmulatedEndpoint) Close() {
	close(h.quit)
	_ = h.packetConn.Close()
	_ = h.server.Close()
	h.done.Wait()
}

// SetCold makes the endpoint cold for d. Established flows continue.
func (h *EmulatedEndpoint) SetCold(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.coldSince = time.Now()
	h.coldUntil = h.coldSince.Add(d)
	h.coldFlows = 0
}

// SetReportsDown starts or ends an outage of the endpoint's load reports.
func (h *EmulatedEndpoint) SetReportsDown(reportsDown bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reportsDown = reportsDown
}

// SetReportHook sets a function that alters each load report before it is sent.
// A nil function removes the hook.
func (h *EmulatedEndpoint) SetReportHook(change func(*carawaycart.LoadReport)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reportHook = change
}

// Flows returns the number of established flows.
func (h *EmulatedEndpoint) Flows() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.flows)
}

// Zone returns the availability zone of the endpoint.
func (h *EmulatedEndpoint) Zone() carawaycart.ZoneID { return h.config.Zone }

func (h *EmulatedEndpoint) cold(now time.Time) bool { return now.Before(h.coldUntil) }

// coldKnown reports whether the endpoint has been cold for at least coldGrace, so
// that every instance must have learned of it from the load reports.
func (h *EmulatedEndpoint) coldKnown(now time.Time) bool {
	return h.cold(now) && now.Sub(h.coldSince) >= coldGrace
}

func (h *EmulatedEndpoint) receive() {
	var d segmentDecoder
	buffer := make([]byte, receiveBufferBytes)
	for {
		n, err := h.packetConn.Read(buffer)
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
		h.handleSegment(&s, time.Now())
	}
}

func (h *EmulatedEndpoint) handleSegment(s *Segment, now time.Time) {
	if s.Destination != h.config.ServiceAddress {
		h.ledger.Update(func(t *Totals) { t.PacketsToWrongService++ })
		return
	}
	if h.ledger.pastCutoff(string(h.config.Zone), now) {
		h.ledger.Update(func(t *Totals) { t.PacketsAfterZoneOut++ })
	}
	h.fabric.deliver(s.Source, h.processSegment(s, now))
}

// processSegment applies a segment to the flow table and returns the reply for
// the caller.
func (h *EmulatedEndpoint) processSegment(s *Segment, now time.Time) reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.flows[s.Source]
	switch {
	case s.SYN && !known:
		if !h.openFlow(s.Source, now) {
			return reply{endpoint: h.config.ID, rst: true}
		}
		return reply{endpoint: h.config.ID, syn: true}
	case s.SYN:
		return reply{endpoint: h.config.ID, syn: true}
	case s.FIN || s.RST:
		delete(h.flows, s.Source)
		return reply{endpoint: h.config.ID, number: s.Number}
	case !known:
		return reply{endpoint: h.config.ID, rst: true}
	}
	return reply{endpoint: h.config.ID, number: s.Number}
}

// openFlow records a new flow and reports whether the limits permit it.
func (h *EmulatedEndpoint) openFlow(caller netip.AddrPort, now time.Time) bool {
	if h.ledger.pastCutoff(string(h.config.ID), now) {
		h.ledger.Update(func(t *Totals) { t.WorkAfterLeave++ })
	}
	if len(h.flows) >= h.config.MaxFlows {
		return false
	}
	if h.cold(now) {
		h.coldFlows++
		if h.coldFlows > h.config.ColdFlows {
			if h.coldKnown(now) {
				h.ledger.Update(func(t *Totals) { t.ColdOverload++ })
			}
			return false
		}
	}
	h.flows[caller] = true
	return true
}

// sampleReports samples the load every reportInterval and retains the samples for
// reportDelay, so that reports arrive late as in a real system.
func (h *EmulatedEndpoint) sampleReports() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.quit:
			return
		case now := <-ticker.C:
			h.mu.Lock()
			h.reports = append(h.reports, timedReport{
				report: carawaycart.LoadReport{Flows: len(h.flows), Requests: h.activeRequests, Cold: h.cold(now)},
				time:   now,
			})
			for len(h.reports) > 1 && now.Sub(h.reports[1].time) >= reportDelay {
				h.reports = h.reports[1:]
			}
			h.mu.Unlock()
		}
	}
}

// handleLoad serves the delayed load report. Before the first sample the report has
// no flows and requests.
func (h *EmulatedEndpoint) handleLoad(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	reportsDown := h.reportsDown
	report := carawaycart.LoadReport{Cold: h.cold(time.Now())}
	if len(h.reports) > 0 {
		report = h.reports[0].report
	}
	if h.reportHook != nil {
		h.reportHook(&report)
	}
	h.mu.Unlock()
	if reportsDown {
		http.Error(w, "silent", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, report)
}

// RequestAnswer is the body of an endpoint's response to a request. Endpoint is the ID
// of the endpoint, and Size the length of the request's body in bytes.
type RequestAnswer struct {
	Key      carawaycart.IdempotencyKey `json:"key"`
	Endpoint carawaycart.EndpointID     `json:"host"`
	Size     int                        `json:"size"`
}

// handleRequest runs a request, or marks its response as not run if the endpoint
// has no free slot or the caller's timeout is too short. A request for another
// service is counted with the packets to a wrong service, and run.
func (h *EmulatedEndpoint) handleRequest(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if r.Host != string(h.config.Service) {
		h.ledger.Update(func(t *Totals) { t.PacketsToWrongService++ })
	}
	if !h.withinTimeout(r) || !h.acquireSlot(now) {
		w.Header().Set(endpoint.NotRunHeader, "1")
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	}
	defer h.releaseSlot()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := carawaycart.IdempotencyKey(r.Header.Get(caller.IdempotencyKeyHeader))
	if r.Method == http.MethodPost && key != "" {
		h.ledger.recordRun(key)
	}
	if !simulateWork(r.Context()) {
		return // the request was cancelled after it was recorded as run
	}
	answer := RequestAnswer{Key: key, Endpoint: h.config.ID, Size: len(body)}
	data, err := json.Marshal(answer)
	if err != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data)
}

// withinTimeout reports whether the caller's timeout leaves enough time to run the
// request. A request without a timeout passes; one whose timeout is not a number
// does not.
func (h *EmulatedEndpoint) withinTimeout(r *http.Request) bool {
	text := r.Header.Get(caller.TimeoutHeader)
	if text == "" {
		return true
	}
	ms, err := strconv.Atoi(text)
	return err == nil && time.Duration(ms)*time.Millisecond >= serviceTime
}

// simulateWork blocks for serviceTime. It returns false if ctx ends first.
func simulateWork(ctx context.Context) bool {
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// acquireSlot reserves a request slot. It returns false and counts a shed request
// if no slot is free.
func (h *EmulatedEndpoint) acquireSlot(now time.Time) bool {
	if h.ledger.pastCutoff(string(h.config.ID), now) {
		h.ledger.Update(func(t *Totals) { t.WorkAfterLeave++ })
	}
	if h.ledger.pastCutoff(string(h.config.Zone), now) {
		h.ledger.Update(func(t *Totals) { t.PacketsAfterZoneOut++ })
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := h.config.RequestSlots
	if h.cold(now) {
		limit = min(limit, h.config.ColdRequests)
	}
	if h.activeRequests >= limit {
		overload := h.coldKnown(now)
		h.ledger.Update(func(t *Totals) {
			t.RequestsShed++
			if overload {
				t.ColdOverload++
			}
		})
		return false
	}
	h.activeRequests++
	return true
}

func (h *EmulatedEndpoint) releaseSlot() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.activeRequests--
}
