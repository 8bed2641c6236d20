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

// EmulatedEndpoint emulates an endpoint of a service. It refuses flows and requests
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
	coldFlows      int // flows requested since coldSince, including those refused for the cold limit
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
	e := &EmulatedEndpoint{
		config: c, ledger: l, fabric: f, packetConn: packetConn, http: listener,
		flows: make(map[netip.AddrPort]bool), quit: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", e.handleLoad)
	mux.HandleFunc("/", e.handleRequest)
	e.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	e.done.Go(func() { _ = e.server.Serve(listener) })
	e.done.Go(e.receive)
	e.done.Go(e.sampleReports)
	return e, nil
}

// Endpoint returns the configuration object that describes the endpoint.
func (e *EmulatedEndpoint) Endpoint() carawaycart.Endpoint {
	return carawaycart.Endpoint{
		ID: e.config.ID, Service: e.config.Service, Zone: e.config.Zone,
		FlowAddress:    e.packetConn.LocalAddr().(*net.UDPAddr).AddrPort(),
		RequestAddress: e.http.Addr().(*net.TCPAddr).AddrPort(),
		MaxFlows:       e.config.MaxFlows, RequestSlots: e.config.RequestSlots,
	}
}

// Close stops the endpoint and waits for its goroutines.
func (e *EmulatedEndpoint) Close() {
	close(e.quit)
	_ = e.packetConn.Close()
	_ = e.server.Close()
	e.done.Wait()
}

// SetCold makes the endpoint cold for d. Established flows continue.
func (e *EmulatedEndpoint) SetCold(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldSince = time.Now()
	e.coldUntil = e.coldSince.Add(d)
	e.coldFlows = 0
}

// SetReportsDown starts or ends an outage of the endpoint's load reports.
func (e *EmulatedEndpoint) SetReportsDown(reportsDown bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportsDown = reportsDown
}

// SetReportHook sets a function that alters each load report before it is sent.
// A nil function removes the hook.
func (e *EmulatedEndpoint) SetReportHook(change func(*carawaycart.LoadReport)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reportHook = change
}

// Flows returns the number of established flows.
func (e *EmulatedEndpoint) Flows() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.flows)
}

// Zone returns the availability zone of the endpoint.
func (e *EmulatedEndpoint) Zone() carawaycart.ZoneID { return e.config.Zone }

func (e *EmulatedEndpoint) cold(now time.Time) bool { return now.Before(e.coldUntil) }

// coldKnown reports whether the endpoint has been cold for at least coldGrace, so
// that every instance must have learned of it from the load reports.
func (e *EmulatedEndpoint) coldKnown(now time.Time) bool {
	return e.cold(now) && now.Sub(e.coldSince) >= coldGrace
}

func (e *EmulatedEndpoint) receive() {
	var d segmentDecoder
	buffer := make([]byte, receiveBufferBytes)
	for {
		n, err := e.packetConn.Read(buffer)
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
		e.handleSegment(&s, time.Now())
	}
}

func (e *EmulatedEndpoint) handleSegment(s *Segment, now time.Time) {
	if s.Destination != e.config.ServiceAddress {
		e.ledger.Update(func(t *Totals) { t.PacketsToWrongService++ })
		return
	}
	if e.ledger.pastCutoff(string(e.config.Zone), now) {
		e.ledger.Update(func(t *Totals) { t.PacketsAfterZoneOut++ })
	}
	e.fabric.deliver(s.Source, e.processSegment(s, now))
}

// processSegment applies a segment to the flow table and returns the reply for
// the caller.
func (e *EmulatedEndpoint) processSegment(s *Segment, now time.Time) reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.flows[s.Source]
	switch {
	case s.SYN && !known:
		if !e.openFlow(s.Source, now) {
			return reply{endpoint: e.config.ID, rst: true}
		}
		return reply{endpoint: e.config.ID, syn: true}
	case s.SYN:
		return reply{endpoint: e.config.ID, syn: true}
	case s.FIN || s.RST:
		delete(e.flows, s.Source)
		return reply{endpoint: e.config.ID, number: s.Number}
	case !known:
		return reply{endpoint: e.config.ID, rst: true}
	}
	return reply{endpoint: e.config.ID, number: s.Number}
}

// openFlow records a new flow and reports whether the limits permit it.
func (e *EmulatedEndpoint) openFlow(caller netip.AddrPort, now time.Time) bool {
	if e.ledger.pastCutoff(string(e.config.ID), now) {
		e.ledger.Update(func(t *Totals) { t.WorkAfterLeave++ })
	}
	if len(e.flows) >= e.config.MaxFlows {
		return false
	}
	if e.cold(now) {
		e.coldFlows++
		if e.coldFlows > e.config.ColdFlows {
			if e.coldKnown(now) {
				e.ledger.Update(func(t *Totals) { t.ColdOverload++ })
			}
			return false
		}
	}
	e.flows[caller] = true
	return true
}

// sampleReports samples the load every reportInterval and retains the samples for
// reportDelay, so that reports arrive late as in a real system.
func (e *EmulatedEndpoint) sampleReports() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-e.quit:
			return
		case now := <-ticker.C:
			e.mu.Lock()
			e.reports = append(e.reports, timedReport{
				report: carawaycart.LoadReport{Flows: len(e.flows), Requests: e.activeRequests, Cold: e.cold(now)},
				time:   now,
			})
			for len(e.reports) > 1 && now.Sub(e.reports[1].time) >= reportDelay {
				e.reports = e.reports[1:]
			}
			e.mu.Unlock()
		}
	}
}

// handleLoad serves the delayed load report. Before the first sample the report has
// no flows and requests.
func (e *EmulatedEndpoint) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	reportsDown := e.reportsDown
	report := carawaycart.LoadReport{Cold: e.cold(time.Now())}
	if len(e.reports) > 0 {
		report = e.reports[0].report
	}
	if e.reportHook != nil {
		e.reportHook(&report)
	}
	e.mu.Unlock()
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
func (e *EmulatedEndpoint) handleRequest(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	if r.Host != string(e.config.Service) {
		e.ledger.Update(func(t *Totals) { t.PacketsToWrongService++ })
	}
	if !e.withinTimeout(r) || !e.acquireSlot(now) {
		w.Header().Set(endpoint.NotRunHeader, "1")
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	}
	defer e.releaseSlot()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := carawaycart.IdempotencyKey(r.Header.Get(caller.IdempotencyKeyHeader))
	if r.Method == http.MethodPost && key != "" {
		e.ledger.recordRun(key)
	}
	if !simulateWork(r.Context()) {
		return // the request was cancelled after it was recorded as run
	}
	answer := RequestAnswer{Key: key, Endpoint: e.config.ID, Size: len(body)}
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
func (e *EmulatedEndpoint) withinTimeout(r *http.Request) bool {
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
func (e *EmulatedEndpoint) acquireSlot(now time.Time) bool {
	if e.ledger.pastCutoff(string(e.config.ID), now) {
		e.ledger.Update(func(t *Totals) { t.WorkAfterLeave++ })
	}
	if e.ledger.pastCutoff(string(e.config.Zone), now) {
		e.ledger.Update(func(t *Totals) { t.PacketsAfterZoneOut++ })
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	limit := e.config.RequestSlots
	if e.cold(now) {
		limit = min(limit, e.config.ColdRequests)
	}
	if e.activeRequests >= limit {
		overload := e.coldKnown(now)
		e.ledger.Update(func(t *Totals) {
			t.RequestsShed++
			if overload {
				t.ColdOverload++
			}
		})
		return false
	}
	e.activeRequests++
	return true
}

func (e *EmulatedEndpoint) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeRequests--
}
