package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, and checks the rules.
type recorder struct {
	mu     sync.Mutex
	began  time.Time
	out    *os.File
	sends  map[string]time.Time
	runs   map[string]int
	ended  map[string]string
	colds  []coldSpan
	cold   []coldRun
	fails  []string
	hostOf func(id, born string) bool // whether the lifetime of a host goes on
}

type coldSpan struct {
	host        string
	from, until time.Time
}

type coldRun struct {
	host          string
	sent, arrived time.Time
}

func newRecorder(path string) (*recorder, error) {
	out, err := os.Create(path)
	return &recorder{began: time.Now(), out: out, sends: map[string]time.Time{}, runs: map[string]int{}, ended: map[string]string{}}, err
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.print(format, args...)
}

func (r *recorder) print(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) fail(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fails = append(r.fails, rule+": "+fmt.Sprintf(format, args...))
}

func (r *recorder) sent(id string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sends[id] = at
	r.print("sent %s", id)
}

func (r *recorder) outcome(id, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended[id] = text
	r.print("ended %s: %s", id, text)
}

// coldHost records that a host is cold from now on.
func (r *recorder) coldHost(id string, at time.Time, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.colds = append(r.colds, coldSpan{id, at, at.Add(d)})
	r.print("host %s is cold for %s", id, d)
}

// run records that a host begins to work on a request whose opening packet it took at arrived.
// A cold host is charged for the first request of a flow only.
func (r *recorder) run(id, host string, arrived time.Time, later bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id]++
	r.print("run %s at %s", id, host)
	if r.runs[id] > 1 {
		r.fails = append(r.fails, "UNASKED: "+id+" ran twice")
	}
	for _, c := range r.colds {
		if !later && c.host == host && !arrived.Before(c.from) && arrived.Before(c.until) {
			r.cold = append(r.cold, coldRun{host, r.sends[id], arrived})
		}
	}
}

// checkFailback fails if a cold host got more requests than limit in one second, of those that
// were sent and arrived within that second.
func (r *recorder) checkFailback(limit float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byHost := map[string][]coldRun{}
	for _, c := range r.cold {
		byHost[c.host] = append(byHost[c.host], c)
	}
	var hosts []string
	for h := range byHost {
		hosts = append(hosts, h)
	}
	sort.Strings(hosts)
	for _, h := range hosts {
		most := 0
		for _, first := range byHost[h] {
			n := 0
			for _, c := range byHost[h] {
				if !c.sent.Before(first.sent) && c.arrived.Before(first.sent.Add(time.Second)) {
					n++
				}
			}
			most = max(most, n)
		}
		r.print("cold host %s: %d requests while cold, at most %d within one second, limit %.1f", h, len(byHost[h]), most, limit)
		if float64(most) > limit {
			r.fails = append(r.fails, fmt.Sprintf("FAILBACK: cold host %s got %d requests within one second, limit %.1f", h, most, limit))
		}
	}
}

// finish prints a summary and returns the number of answered requests and the broken rules.
func (r *recorder) finish() (answered, total int, fails []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, text := range r.ended {
		if len(text) > 3 && text[:3] == "200" {
			answered++
		}
	}
	r.print("%d attempts, %d answered with success", len(r.sends), answered)
	for _, f := range r.fails {
		r.print("BROKEN %s", f)
	}
	return answered, len(r.sends), r.fails
}

// served returns the number of attempts whose names begin with label and that were sent at from
// or later, a second ago or more, and of those that were answered with success.
func (r *recorder) served(label string, from time.Time) (sent, served int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, at := range r.sends {
		if strings.HasPrefix(id, label) && !at.Before(from) && time.Since(at) > time.Second {
			sent++
			if strings.HasPrefix(r.ended[id], "200") {
				served++
			}
		}
	}
	return sent, served
}

// flowReset records a reset on an open flow whose last answer was last, and fails if its host
// did not send the reset and lives.
func (r *recorder) flowReset(id, last string, system bool, opened time.Time) {
	f := strings.Fields(last)
	lives := len(f) == 4 && r.hostOf != nil && r.hostOf(f[2], f[3])
	by := "a host at which it is not open"
	if system {
		by = "the system"
	}
	r.line("flow of %s is reset by %s; last answer %v, its host lives: %v; open for %s", id, by, f, lives, time.Since(opened).Round(time.Millisecond))
	if lives {
		r.fail("FLOW", "flow of %s, open at host %s, which lives, was reset by %s", id, f[2], by)
	}
}
