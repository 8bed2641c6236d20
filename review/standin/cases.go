package main

import (
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"
)

// scenario is a case: the rule that it shows broken, and its course, without the disruption
// if trouble is false.
type scenario struct {
	rule string
	play func(w *world, trouble bool) error
}

var cases = map[string]scenario{
	"reborn-flow": {"FLOW", playRebornFlow},
	"reborn-cold": {"FAILBACK", playRebornCold},
	"foreign":     {"ROUTE", playForeign},
	"returned":    {"FAILBACK", playReturned},
	"fraction":    {"Fault", playFraction},
}

var (
	feedAddr   = netip.MustParseAddrPort("127.255.0.1:8443")
	orderAddr  = netip.MustParseAddrPort("127.255.0.1:8080")
	uploadAddr = netip.MustParseAddrPort("127.255.0.2:8443")
)

// between returns a function that draws times between a and b.
func between(a, b time.Duration) func() time.Duration {
	return func() time.Duration { return a + time.Duration(rand.Int64N(int64(b-a))) }
}

// orders sends requests at a steady rate, each on a flow of its own.
func (w *world) orders(r *requester, service netip.AddrPort, perSecond float64, safe bool) {
	w.workers.Go(func() {
		t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer t.Stop()
		for {
			select {
			case <-w.stop:
				return
			case <-t.C:
				go r.once(service, safe, 1200*time.Millisecond)
			}
		}
	})
}

// small builds an installation of three zones with the given number of instances each, and
// of hosts of each service in each zone.
func (w *world) small(instances int, hosts map[string]int, routes []route) error {
	if err := w.build([]string{"a", "b", "c"}, instances); err != nil {
		return err
	}
	services := sortedKeys(hosts)
	w.configure(routes, services...)
	for _, service := range services {
		for _, zone := range w.zones {
			for range hosts[service] {
				if _, err := w.addHost(service, zone); err != nil {
					return err
				}
			}
		}
	}
	return w.startAll()
}

// restart crashes h and starts it again under its id.
func (w *world) restart(h *host, after time.Duration) error {
	w.record.event("trouble", "%s crashes", h.id)
	h.crash()
	time.Sleep(after)
	w.record.event("trouble", "%s starts again under its id", h.id)
	return h.start(coldStart)
}

// playRebornFlow lets hosts crash, one after the other, and start again at once under their
// ids, while feeds keep flows open with pauses of some seconds.
func playRebornFlow(w *world, trouble bool) error {
	routes := []route{{"feed", feedAddr, "safe", "desk"}, {"order", orderAddr, "unsafe", "desk"}}
	if err := w.small(4, map[string]int{"desk": 3}, routes); err != nil {
		return err
	}
	for _, r := range w.requesters {
		for range 300 {
			w.workers.Go(func() { r.feed(feedAddr, 2, between(4500*time.Millisecond, 6*time.Second), time.Second) })
		}
		w.orders(r, orderAddr, 5, false)
	}
	time.Sleep(12 * time.Second)
	for _, h := range w.hosts {
		if trouble {
			if err := w.restart(h, 150*time.Millisecond); err != nil {
				return err
			}
		}
		time.Sleep(4 * time.Second)
	}
	time.Sleep(8 * time.Second)
	return nil
}

// playRebornCold lets hosts crash, one after the other, and start again at once under their
// ids, while requests come that open a flow each.
func playRebornCold(w *world, trouble bool) error {
	w.coldPerSecond = 2
	routes := []route{{"upload", uploadAddr, "upload", "intake"}}
	if err := w.small(5, map[string]int{"intake": 2}, routes); err != nil {
		return err
	}
	for _, r := range w.requesters {
		w.orders(r, uploadAddr, 130, false)
	}
	time.Sleep(5 * time.Second)
	for n := range 10 {
		if trouble {
			if err := w.restart(w.hosts[n%6], 100*time.Millisecond); err != nil {
				return err
			}
		}
		time.Sleep(between(4*time.Second, 5*time.Second)())
	}
	return nil
}

// playForeign lets another writer write entries of hosts, without seq and with the name of
// the other service.
func playForeign(w *world, trouble bool) error {
	w.work = 30 * time.Millisecond
	routes := []route{{"feed", feedAddr, "safe", "desk"}, {"upload", uploadAddr, "upload", "intake"}}
	if err := w.small(2, map[string]int{"desk": 2, "intake": 1}, routes); err != nil {
		return err
	}
	for _, r := range w.requesters {
		for range 10 {
			w.workers.Go(func() { r.feed(feedAddr, 5, between(500*time.Millisecond, 2*time.Second), time.Second) })
		}
		w.orders(r, uploadAddr, 40, false)
	}
	time.Sleep(8 * time.Second)
	for n := range 6 {
		if trouble {
			h := w.hosts[n]
			h.mu.Lock()
			entry := h.entry(h.life)
			h.mu.Unlock()
			delete(entry, "seq")
			entry["service"] = "intake"
			revision := w.store.put("servers/"+h.id, encodeJSON(entry))
			w.record.event("trouble", "another writer writes servers/%s, revision %d: %s", h.id, revision, encodeJSON(entry))
		}
		time.Sleep(5 * time.Second)
	}
	return nil
}

// playReturned evacuates a zone and takes it back. Its hosts become cold shortly before,
// and some instances are killed and start again meanwhile.
func playReturned(w *world, trouble bool) error {
	w.coldPerSecond = 4
	routes := []route{{"order", orderAddr, "unsafe", "desk"}}
	if err := w.small(3, map[string]int{"desk": 2}, routes); err != nil {
		return err
	}
	for n, r := range w.requesters {
		w.orders(r, orderAddr, []float64{40, 100, 40}[n], false)
	}
	time.Sleep(3 * time.Second)
	const key = "op/evacuate/b"
	for range 5 {
		w.record.event("operator", "%s at revision %d", key, w.store.put(key, []byte("{}")))
		time.Sleep(7900 * time.Millisecond)
		for _, h := range w.hosts {
			if h.zone == "b" {
				h.turnCold(coldStart)
				w.record.event("cold", "%s", h.id)
			}
		}
		time.Sleep(100 * time.Millisecond)
		w.store.remove(key)
		w.record.event("operator", "%s removed", key)
		if trouble {
			if err := w.killAndRestart(1, 4, 5, 7); err != nil {
				return err
			}
		}
		time.Sleep(between(5*time.Second, 6200*time.Millisecond)())
	}
	return nil
}

// killAndRestart kills the instances with the given numbers; they start again after half a
// second.
func (w *world) killAndRestart(numbers ...int) error {
	for _, n := range numbers {
		w.instances[n].signal(syscall.SIGKILL)
	}
	w.disturb()
	time.Sleep(500 * time.Millisecond)
	for _, n := range numbers {
		<-w.instances[n].exited
		if err := w.instances[n].start(false); err != nil {
			return err
		}
	}
	w.disturb()
	return nil
}

// playFraction changes grace_s of the settings to a fraction, says so to half of the
// instances with SIGHUP, and then stops and starts the instances in turn.
func playFraction(w *world, trouble bool) error {
	routes := []route{{"feed", feedAddr, "safe", "desk"}, {"order", orderAddr, "unsafe", "desk"}}
	if err := w.small(2, map[string]int{"desk": 2}, routes); err != nil {
		return err
	}
	for _, r := range w.requesters {
		for range 10 {
			w.workers.Go(func() { r.feed(feedAddr, 5, between(500*time.Millisecond, 2*time.Second), time.Second) })
		}
		w.orders(r, orderAddr, 10, false)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.grace = "6.5"
	}
	for n, i := range w.instances {
		if err := i.writeSettings(false); err != nil {
			return err
		}
		if n%2 == 0 { // the others notice the change without a signal
			i.signal(syscall.SIGHUP)
		}
	}
	w.record.event("settings", "grace_s is %s", w.grace)
	time.Sleep(3 * time.Second)
	for _, i := range w.instances {
		i.stop()
		for n := range 3 {
			if err := i.start(false); err != nil {
				return err
			}
			select {
			case <-i.exited:
				w.record.breaks("Fault", "%s ended by itself right after start %d with grace_s %s", i.node.name, n+1, w.grace)
			case <-time.After(2 * time.Second):
			}
			if i.running() {
				break
			}
		}
	}
	time.Sleep(8 * time.Second)
	return nil
}
