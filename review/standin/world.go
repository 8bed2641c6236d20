package main

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Ports of a machine, the same on all machines.
const (
	packetPort  = 18172
	readyPort   = 18167
	controlPort = 18166
	innerPort   = 17720
	storePort   = 18169
	hostPort    = 18080
)

// Bounds of the installations of the users' pages.
const (
	stableWindow = 4 * time.Second
	drainBound   = 3 * time.Second
	coldOverrun  = 1.5
	coldSlack    = 5.0
	coldStart    = 2 * time.Second
	maxFlow      = 60 * time.Second
	idleTimeout  = 15 * time.Second
	beatPeriod   = 1200 * time.Millisecond
)

// world is the platform with its hosts, requesters and instances.
type world struct {
	record        *record
	store         *store
	routers       *routers
	deploy        *deploy
	dir           string
	block         byte
	reservation   net.Listener
	seeds         []string
	slots         int
	work          time.Duration
	coldPerSecond float64
	seq           int
	grace         string // grace_s of the settings
	version       int

	zones      []string
	hosts      []*host
	requesters []*requester
	instances  []*instance

	stop    chan struct{}
	workers sync.WaitGroup
	lastID  atomic.Uint64

	mu        sync.Mutex
	syns      map[flowKey][]time.Time
	holders   map[flowKey]holder
	runs      map[string]int
	disturbed time.Time                 // end of the last impairment of an instance or the store
	allowed   map[netip.AddrPort]string // service of each route
}

type holder struct {
	host *host
	life *life
}

// newWorld starts the store and the routers on a free block of loopback addresses.
func newWorld(root, recordPath string) (*world, error) {
	w := &world{
		stop: make(chan struct{}), syns: make(map[flowKey][]time.Time), holders: make(map[flowKey]holder), runs: make(map[string]int),
		allowed: make(map[netip.AddrPort]string), slots: 2, work: 5 * time.Millisecond, grace: "6",
	}
	root, err := filepath.Abs(root)
	if err != nil {
		return nil, err
	}
	if w.record, err = newRecord(recordPath); err != nil {
		return nil, err
	}
	if w.deploy, err = readDeploy(root); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if w.reservation, err = w.reserve(); err != nil {
		return nil, err
	}
	w.store = newStore()
	if w.routers, err = newRouters(w.addr(0, 9, 0)); err != nil {
		return nil, err
	}
	return w, nil
}

// reserve finds a block of loopback addresses that no other run uses.
func (w *world) reserve() (net.Listener, error) {
	for b := 30; b < 250; b++ {
		if l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", b, storePort)); err == nil {
			w.block = byte(b)
			return l, nil
		}
	}
	return nil, errors.New("no free block of loopback addresses")
}

func (w *world) addr(c, d byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, w.block, c, d}), port)
}

// build adds zones with instances and requesters. The control addresses of up to three
// instances are the seeds.
func (w *world) build(zones []string, perZone int) error {
	w.zones = zones
	for z, zone := range zones {
		r, err := newRequester(w, zone, w.addr(200, byte(z+1), 0).Addr())
		if err != nil {
			return err
		}
		w.requesters = append(w.requesters, r)
		for n := range perZone {
			if _, err := w.addInstance(z, n); err != nil {
				return err
			}
		}
	}
	for _, i := range w.instances[:min(3, len(w.instances))] {
		w.seeds = append(w.seeds, fmt.Sprintf("%s:%d", i.ip, controlPort))
	}
	return nil
}

func (w *world) addInstance(z, n int) (*instance, error) {
	packets := w.addr(byte(10+z), byte(n+1), packetPort)
	storeAddr := w.addr(byte(50+z), byte(n+1), storePort)
	if err := w.store.listen(storeAddr.String()); err != nil {
		return nil, err
	}
	name := fmt.Sprintf("front-%s-%d", w.zones[z], n+1)
	i := &instance{w: w, ip: packets.Addr(), storeURL: storeAddr.String(), node: &node{
		name: name, zone: w.zones[z], packets: packets, readyURL: fmt.Sprintf("http://%s:%d/-/ready", packets.Addr(), readyPort),
	}}
	w.instances = append(w.instances, i)
	return i, nil
}

// addHost starts a host, which is not cold: there is no traffic yet.
func (w *world) addHost(service, zone string) (*host, error) {
	n := len(w.hosts) + 1
	h := newHost(w, n, service, zone, w.addr(100, byte(n), hostPort))
	w.hosts = append(w.hosts, h)
	if err := h.start(0); err != nil {
		return nil, err
	}
	w.workers.Go(h.maintain)
	return h, nil
}

// route is a route of the config.
type route struct {
	name    string
	addr    netip.AddrPort
	kind    string
	service string
}

// configure writes the next version of the config.
func (w *world) configure(routes []route, services ...string) {
	w.version += 3
	var rows, policies []map[string]any
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"name": r.name, "host": r.addr.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.addr.Port()), "type": r.kind, "timeout_ms": 1000,
			"target_latency_ms": 200, "priority": 1, "service": r.service, "max_attempts": 2,
		})
		w.allowed[r.addr] = r.service
	}
	for _, s := range services {
		policies = append(policies, map[string]any{
			"name": s, "health_path": "/health", "max_conns": 4000, "protocol": "h1", "tls": false, "cold_start_s": coldStart.Seconds(), "cold_per_s": w.coldPerSecond,
		})
	}
	revision := w.store.put("op/config", encodeJSON(map[string]any{
		"version": w.version, "routes": rows, "services": policies,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idleTimeout.Milliseconds()},
	}))
	w.record.event("operator", "config version %d, revision %d", w.version, revision)
}

// startAll starts all instances and waits until they are ready.
func (w *world) startAll() error {
	for _, i := range w.instances {
		if err := i.start(true); err != nil {
			return err
		}
		w.routers.add(i.node)
		w.workers.Go(func() { w.routers.check(i.node, w) })
	}
	for deadline := time.Now().Add(15 * time.Second); w.routers.ready() < len(w.instances); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.New("the instances are not ready")
		}
	}
	time.Sleep(stableWindow)
	return nil
}

// close ends everything that was started.
func (w *world) close() {
	select {
	case <-w.stop:
	default:
		close(w.stop)
	}
	var stops sync.WaitGroup
	for _, i := range w.instances {
		stops.Go(i.stop)
	}
	stops.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", filepath.Clean(w.dir))
	}
}

func (w *world) stopped() bool {
	select {
	case <-w.stop:
		return true
	default:
		return false
	}
}

func (w *world) newID() string { return fmt.Sprintf("req-%06d", w.lastID.Add(1)) }

// sent records that the opening packet of a flow was sent.
func (w *world) sent(key flowKey, copyNumber int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if copyNumber == 0 {
		w.syns[key] = nil
		delete(w.holders, key)
	}
	w.syns[key] = append(w.syns[key], time.Now())
}

// sentAt returns when the given copy of the opening packet of a flow was sent.
func (w *world) sentAt(key flowKey, copyNumber uint32) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := w.syns[key]
	if int(copyNumber) >= len(all) {
		return time.Time{}
	}
	return all[copyNumber]
}

func (w *world) open(key flowKey, h *host, v *life) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holders[key] = holder{h, v}
}

func (w *world) closed(key flowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.holders, key)
}

// holder returns the host that has the end of the flow's handshake.
func (w *world) holder(key flowKey) (*host, *life) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.holders[key]
	return h.host, h.life
}

// ran records that a host began to work on a request.
func (w *world) ran(id string, h *host, key flowKey) {
	w.record.event("ran", "%s on %s of %s", id, h.id, h.service)
	w.mu.Lock()
	w.runs[id]++
	again, service := w.runs[id] > 1, w.allowed[key.service]
	w.mu.Unlock()
	if again {
		w.record.breaks("UNASKED", "%s ran twice, last on %s", id, h.id)
	}
	if service != h.service {
		w.record.breaks("ROUTE", "%s, sent to %s of %s, was run by %s of %s", id, key.service, service, h.id, h.service)
	}
}

// disturb records an impairment of an instance or the store.
func (w *world) disturb() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed = time.Now()
}

// inTouch reports whether all instances are in touch.
func (w *world) inTouch() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.disturbed) >= stableWindow
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
