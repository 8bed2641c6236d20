package main

import (
	"fmt"
	"net/netip"
	"os"
	"time"
)

// Bounds of the settings.
const (
	configApply = 3 * time.Second  // config_apply_ms
	recoverTime = 12 * time.Second // recover_s
)

// stale: the store turns two of the six instances away for 9 s and takes their keys away at
// once. Meanwhile the zone of these instances is evacuated for 5 s; its hosts are cold at
// the end. With REVOKE=0 the keys stay.
func stale(s *site, trouble bool) {
	zone, out := s.pair()
	if trouble {
		s.rec.line("disruption: the store turns %v away for 9 s and takes their keys away", out)
		s.st.refuse(out, os.Getenv("REVOKE") != "0")
	}
	time.Sleep(1500 * time.Millisecond)
	s.rec.line("zone %s is evacuated", zone)
	s.st.put("op/evacuate/"+zone, map[string]any{})
	time.Sleep(5 * time.Second)
	s.rec.line("zone %s is taken back", zone)
	s.st.drop("op/evacuate/" + zone)
	for _, h := range s.hosts {
		if h.zone == zone {
			h.turnCold()
		}
	}
	time.Sleep(2500 * time.Millisecond)
	s.st.admit()
	time.Sleep(2 * time.Second)
}

// reborn: two of twelve hosts are cut off from the store, but not from the instances, crash
// behind the cut and start again under their ids.
func reborn(s *site, trouble bool) {
	cut := []*host{s.hosts[0], s.hosts[s.hostsPer]}
	for _, h := range cut {
		if trouble {
			s.rec.line("disruption: host %s is cut off from the store for 5 s", h.id)
			h.setCut(true)
		}
	}
	time.Sleep(500 * time.Millisecond)
	for _, h := range cut {
		s.rec.line("host %s crashes", h.id)
		h.crash()
	}
	time.Sleep(100 * time.Millisecond)
	for _, h := range cut {
		s.rec.line("host %s starts again", h.id)
		if err := h.start(true); err != nil {
			panic(err)
		}
	}
	time.Sleep(4400 * time.Millisecond)
	for _, h := range cut {
		h.setCut(false)
	}
	time.Sleep(2 * time.Second)
}

// idle: the operator changes the idle time-out to two days and adds a route. Later all processes
// are killed and start again.
func idle(s *site, trouble bool) {
	s.added = append(s.added, netip.AddrPortFrom(s.service.Addr(), s.service.Port()+1))
	s.idleMS = 20000
	if trouble {
		s.rec.line("disruption: the config changes (idle), to two days")
		s.idleMS = 2 * 24 * 60 * 60 * 1000
	}
	s.configure()
	time.Sleep(configApply + 500*time.Millisecond)
	stop := make(chan struct{})
	s.rec.line("orders to the added route start")
	for _, c := range s.callers {
		go c.load("added", s.added[0], 5, stop)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	time.Sleep(2 * time.Second)
	if sent, served := s.rec.served("added", time.Time{}); served < sent {
		s.rec.fail("CONFIG", "%d of %d requests to the route that version %d added, sent %s or more after its confirmation, were not served", sent-served, sent, s.version, configApply+500*time.Millisecond)
	}
	s.rec.line("all processes are killed")
	s.f.kill()
	time.Sleep(time.Second)
	if err := s.f.restart(); err != nil {
		panic(err)
	}
	s.rec.line("all processes run again")
	back := time.Now()
	time.Sleep(recoverTime + 6*time.Second)
	if sent, served := s.rec.served("order", back.Add(recoverTime)); 4*served < sent {
		s.rec.fail("RECOVER", "of %d requests that were sent later than %s after the processes were back, %d were served", sent, recoverTime, served)
	}
}

// late: a hundredth of the datagrams of hosts and to hosts are lost. The instances are stopped
// and started in turn.
func late(s *site, trouble bool) {
	s.rec.hostOf = s.isAlive
	if trouble {
		s.rec.line("disruption: one datagram of a hundred is lost")
		s.loss.set(0.01)
	}
	for _, c := range s.callers {
		for n := range 90 {
			go c.feed(fmt.Sprintf("feed%d", n), s.service, time.Second, 5*time.Second, s.stop)
		}
	}
	time.Sleep(5 * time.Second)
	for range 2 {
		for _, i := range s.f.all {
			s.rec.line("planned work: %s is stopped and starts again", i.name)
			if err := s.f.roll(i); err != nil {
				panic(err)
			}
			time.Sleep(2 * time.Second)
		}
	}
	time.Sleep(2 * time.Second)
}

// isAlive reports whether the lifetime of a host that began at born goes on.
func (s *site) isAlive(id, born string) bool {
	for _, h := range s.hosts {
		if h.id == id {
			h.mu.Lock()
			defer h.mu.Unlock()
			return !h.stopped && fmt.Sprint(h.born) == born
		}
	}
	return false
}
