// Command standin-2 runs the cases of the review: it starts processes of the system with the
// command of the deploy file on loopback addresses, with stand-ins of the platform's store and
// routers, of hosts and of requesters, and checks a rule by what these have seen.
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

const serviceName = "desk"

// site is a small deployment.
type site struct {
	zones    []string
	perZone  int // instances of a zone
	hostsPer int // hosts of a zone
	load     float64
	coldRate float64 // cold_per_s of the service

	block   int
	rec     *recorder
	st      *store
	f       *fleet
	hosts   []*host
	callers []*caller
	service netip.AddrPort
	hostIP  int
	version int
	idleMS  int64            // idle_timeout_ms of the config
	added   []netip.AddrPort // addresses of routes that were added
	loss    loss
	stop    chan struct{}
}

// coldLimit returns the limit of the rule FAILBACK: cold_per_s x cold_overrun + cold_slack.
func (s *site) coldLimit() float64 { return s.coldRate*1.5 + 5 }

func (s *site) addr(c, d, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", s.block, c, d, port)
}

// start starts everything and waits until the fleet is ready. The load starts 3 s later.
func (s *site) start(root, record string) error {
	var err error
	if s.rec, err = newRecorder(record); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return err
	}
	s.stop = make(chan struct{})
	s.f = &fleet{root: root, dir: dir, rec: s.rec, stop: make(chan struct{})}
	if err := s.findPorts(); err != nil {
		return err
	}
	s.st = newStore(s.rec)
	s.service = netip.MustParseAddrPort(s.addr(250, 1, 8080))
	s.configure()
	for z, zone := range s.zones {
		for range s.hostsPer {
			h := s.newHost(zone, z)
			if err := h.start(false); err != nil {
				return err
			}
		}
	}
	var seeds []string
	for z, zone := range s.zones {
		for n := range s.perZone {
			i := &instance{name: fmt.Sprintf("front-%s-%d", zone, n+1), zone: zone, ip: fmt.Sprintf("127.%d.%d.%d", s.block, z+10, n+1)}
			i.store = s.addr(z+10, n+101, s.f.ports["store"])
			if err := s.st.listen(i.store, i.name); err != nil {
				return err
			}
			s.f.all = append(s.f.all, i)
			if n == 0 && len(seeds) < 3 {
				seeds = append(seeds, fmt.Sprintf("%s:%d", i.ip, s.f.ports["control"]))
			}
		}
	}
	s.f.seeds = seeds
	for _, i := range s.f.all {
		path, err := s.f.settingsFile(i, seeds, true)
		if err != nil {
			return err
		}
		if err := s.f.launch(i, path); err != nil {
			return err
		}
	}
	go s.f.watchReady()
	for z, zone := range s.zones {
		c, err := newCaller("requester-"+zone, zone, netip.MustParseAddrPort(s.addr(z+200, 1, s.f.ports["packet"])), s.f, s.rec)
		if err != nil {
			return err
		}
		s.callers = append(s.callers, c)
	}
	deadline := time.Now().Add(15 * time.Second)
	for !s.allReady() {
		if time.Now().After(deadline) {
			return fmt.Errorf("the instances are not ready after 15 s")
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(4 * time.Second) // registrations are written and read
	for _, c := range s.callers {
		go c.load("order", s.service, s.load/float64(len(s.zones)), s.stop)
	}
	s.rec.line("traffic starts: %.0f orders a second", s.load)
	return nil
}

func (s *site) allReady() bool {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	for _, i := range s.f.all {
		if !i.ready {
			return false
		}
	}
	return true
}

// findPorts chooses a block of loopback addresses and ports that are free.
func (s *site) findPorts() error {
	for range 50 {
		s.block = 20 + rand.IntN(200)
		base := 20000 + rand.IntN(400)*20
		l, err := net.Listen("tcp4", s.addr(10, 1, base))
		if err != nil {
			continue
		}
		_ = l.Close()
		s.f.ports = map[string]int{"packet": base, "ready": base + 1, "control": base + 2, "store": base + 3, "host": base + 4, "inner": base + 5}
		return nil
	}
	return fmt.Errorf("no free ports")
}

// configure writes the next version of the config.
func (s *site) configure() {
	s.version += 3
	route := func(name string, a netip.AddrPort) map[string]any {
		return map[string]any{
			"name": name, "host": a.Addr().String(), "prefix": fmt.Sprintf("/%d/", a.Port()), "type": "unsafe", "timeout_ms": 600,
			"target_latency_ms": 120, "priority": 1, "service": serviceName, "max_attempts": 2,
		}
	}
	routes := []map[string]any{route("r-orders", s.service)}
	for n, a := range s.added {
		routes = append(routes, route(fmt.Sprintf("r-added-%d", n), a))
	}
	s.st.put("op/config", map[string]any{
		"version": s.version, "routes": routes,
		"services": []map[string]any{{
			"name": serviceName, "health_path": "/health", "max_conns": 4222, "protocol": "h1", "tls": false, "cold_start_s": coldTime.Seconds(), "cold_per_s": s.coldRate,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": s.idleMS},
	})
	s.rec.line("config version %d with %d routes and idle_timeout_ms %d is confirmed", s.version, len(routes), s.idleMS)
}

// newHost returns a host of zone, the z-th one, that is not started.
func (s *site) newHost(zone string, z int) *host {
	s.hostIP++
	number := uint64(rand.Uint32())<<8 | 1
	h := &host{
		id: fmt.Sprintf("i-%010x", number), service: serviceName, zone: zone, number: number, st: s.st, loss: &s.loss, rec: s.rec, workTime: 20 * time.Millisecond,
		address: netip.MustParseAddrPort(s.addr(z+100, s.hostIP, s.f.ports["host"])), callerPort: uint16(s.f.ports["packet"]),
	}
	s.hosts = append(s.hosts, h)
	s.rec.line("host %s in zone %s at %s", h.id, zone, h.address)
	return h
}

// expireEntries removes the entries of hosts that have been silent for three reports.
func (s *site) expireEntries() {
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		for _, h := range s.hosts {
			h.mu.Lock()
			silent := !h.lastBeat.IsZero() && time.Since(h.lastBeat) > 3*heartbeat
			h.mu.Unlock()
			if silent {
				s.st.drop("servers/" + h.id)
			}
		}
	}
}

// pair returns the instances of a zone whose registrations are only in keys that these two
// have written themselves, or those of the first zone if there are none.
func (s *site) pair() (zone string, names []string) {
	s.st.mu.Lock()
	defer s.st.mu.Unlock()
	for _, zone := range s.zones {
		var names []string
		for _, i := range s.f.all {
			if i.zone == zone {
				names = append(names, i.name)
			}
		}
		alone := true
		for _, i := range s.st.items {
			if l := s.st.leases[i.Lease]; l != nil && !slices.Contains(names, l.holder) {
				alone = alone && !slices.ContainsFunc(names, func(n string) bool { return strings.Contains(string(i.Value), n) })
			}
		}
		if alone {
			return zone, names
		}
	}
	zone = s.zones[0]
	return zone, []string{s.f.all[0].name, s.f.all[1].name}
}

func (s *site) close() {
	close(s.stop)
	time.Sleep(300 * time.Millisecond)
	s.f.close()
	for _, h := range s.hosts {
		h.crash()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.f.dir)
	} else {
		fmt.Println("logs:", s.f.dir)
	}
}

func main() { os.Exit(run()) }

func run() int {
	cases := map[string]func(*site, bool){"idle": idle, "late": late, "stale": stale, "reborn": reborn}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD, in the root of the repository")
		return 2
	}
	root, err := filepath.Abs(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s := &site{zones: []string{"a", "b", "c"}, perZone: 2, hostsPer: 2, load: 60, coldRate: 1, idleMS: 15000}
	switch os.Args[1] {
	case "stale":
		s.load = 90
	case "reborn":
		s.hostsPer, s.load = 4, 120
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		if s.f != nil {
			for _, i := range s.f.all {
				if i.cmd != nil && i.cmd.Process != nil {
					_ = i.cmd.Process.Kill()
				}
			}
		}
		os.Exit(2)
	}()
	if err := s.start(root, os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if s.f != nil {
			s.close()
		}
		return 2
	}
	go s.expireEntries()
	time.Sleep(5 * time.Second) // a calm start
	if sent, served := s.rec.served("order", time.Time{}); sent < 100 || 10*served < 9*sent {
		fmt.Printf("%d of %d attempts were served before the disruption: the case could not run\n", served, sent)
		s.close()
		return 2
	}
	cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	s.rec.checkFailback(s.coldLimit())
	s.close()
	answered, total, fails := s.rec.finish()
	fmt.Printf("%d attempts, %d answered with success\n", total, answered)
	for _, f := range fails {
		fmt.Println("BROKEN", f)
	}
	if len(fails) > 0 {
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
