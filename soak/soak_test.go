package soak

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"carawaycart/platform/standin"
)

var (
	seed   = flag.Uint64("seed", 0, "first `seed` of TestLong; zero uses the current time")
	runs   = flag.Int("runs", 0, "number of runs of TestLong, with consecutive seeds")
	faults = flag.Int("faults", 40, "number of faults in a run of TestLong")

	withRestarts = flag.Bool("restarts", true, "whether TestLong includes the faults in restartFaults")
)

// regressions lists the runs of TestRegressions: a short run for CI, and the seeds of
// runs that have failed, each with the cause of the failure.
var regressions = []struct {
	seed     uint64
	faults   int
	restarts bool // whether restartFaults are included
	cause    string
}{
	{1, 12, false, "no failure; the short run of CI"},
	{10, 24, false, "a zone was taken out at a revision below that known from before a restore of the store, and got new flows"},
	{1, 12, true, "no failure; the short run of CI with endpoints that start again"},
}

const (
	zoneCount         = 2
	endpointsPerZone  = 4
	instancesPerZone  = 2
	feedsPerZone      = 4
	requestsPerSecond = 15 // per zone

	// slowFeedsPerZone is the number of flows that are idle for slowFeedPause, longer than
	// a fault suspends the checks of resets.
	slowFeedsPerZone = 4
	slowFeedPause    = 4500 * time.Millisecond

	// coldPeriod and coldReportLag are how long endpoints are cold, and how long after that
	// began their entries do not tell.
	coldPeriod    = 2 * time.Second
	coldReportLag = 1200 * time.Millisecond

	finalRequests = 60 // requests that must all be answered after the last fault

	// rewriteTime is the time in which endpoints write again what a restore has lost.
	rewriteTime = 2 * time.Second
	// lostWritePeriod is the time between writes that a restore loses.
	lostWritePeriod = 20 * time.Millisecond
)

var (
	buildOnce sync.Once
	binary    string
	buildErr  error
)

// buildBinary builds the program on the first call and returns its path.
func buildBinary(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		var dir string
		if dir, buildErr = os.MkdirTemp("", "soak"); buildErr != nil {
			return
		}
		binary = filepath.Join(dir, "carawaycart")
		out, err := exec.Command("go", "build", "-o", binary, "carawaycart/cmd/carawaycart").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("build: %w\n%s", err, out)
		}
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return binary
}

func TestMain(m *testing.M) {
	code := m.Run()
	if binary != "" {
		_ = os.RemoveAll(filepath.Dir(binary))
	}
	os.Exit(code)
}

// process is the operating system process of an instance.
type process struct {
	machine      standin.Machine
	settingsPath string
	store        *proxy // between the instance and its store
	command      *exec.Cmd
	output       bytes.Buffer
	ended        chan struct{} // closed when the process has exited
}

// run is the state of one run with a series of faults.
type run struct {
	*standin.Site
	t               *testing.T
	random          *rand.Rand
	binary          string
	processes       []*process
	endpointProxies []*proxy // by index of the endpoint in the site
	exits           sync.WaitGroup
	mu              sync.Mutex // guards command and ended of all processes
	events          []string   // descriptions of the injected faults
	faults          []fault    // kinds of faults to choose from
}

// newRun starts a platform and its instances and waits until all instances are
// ready.
func newRun(t *testing.T, seed uint64) *run {
	t.Helper()
	r := &run{t: t, random: rand.New(rand.NewPCG(seed, 0)), binary: buildBinary(t)}
	site, err := standin.NewSiteWithProxies(zoneCount, endpointsPerZone, func(listen, target netip.AddrPort) error {
		p, err := newProxy(listen, target)
		r.endpointProxies = append(r.endpointProxies, p)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	r.Site = site
	t.Cleanup(r.close)
	for _, zone := range site.Zones {
		for n := range instancesPerZone {
			r.addInstance(zone, n)
		}
	}
	r.await("all instances are ready", func() bool { return site.Routers.ReadyCount() == len(r.processes) })
	return r
}

// addInstance starts instance n of a zone. The instance reaches its store through a
// proxy that listens on the port after the store's.
func (r *run) addInstance(zone string, n int) {
	m, err := r.AddMachine(zone, n)
	if err != nil {
		r.t.Fatal(err)
	}
	store := netip.MustParseAddrPort(strings.TrimPrefix(m.StoreURL, "http://"))
	p := &process{machine: m, settingsPath: filepath.Join(r.t.TempDir(), m.InstanceID+".ini")}
	if p.store, err = newProxy(netip.AddrPortFrom(store.Addr(), store.Port()+1), store); err != nil {
		r.t.Fatal(err)
	}
	m.StoreURL = fmt.Sprintf("http://%s:%d", store.Addr(), store.Port()+1)
	if err := os.WriteFile(p.settingsPath, []byte(r.Settings(m)), 0o600); err != nil {
		r.t.Fatal(err)
	}
	r.processes = append(r.processes, p)
	r.startProcess(p)
}

// startProcess starts the process of an instance. A failure is recorded in the
// ledger.
func (r *run) startProcess(p *process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.command = exec.Command(r.binary, "balancer", "-config", p.settingsPath)
	p.command.Stderr = &p.output
	if err := p.command.Start(); err != nil {
		r.Ledger.RecordViolation("start %s: %v", p.machine.InstanceID, err)
		return
	}
	ended := make(chan struct{})
	p.ended = ended
	command := p.command
	r.exits.Go(func() {
		_ = command.Wait() // the output shows the cause of the exit
		close(ended)
	})
}

func (r *run) signal(p *process, s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = p.command.Process.Signal(s) // another fault may have ended the process
}

// restart sends a signal that ends the process, waits for its exit and starts it
// again after pause.
func (r *run) restart(p *process, s syscall.Signal, pause time.Duration) {
	r.mu.Lock()
	ended := p.ended
	r.mu.Unlock()
	r.signal(p, s)
	<-ended
	time.Sleep(pause)
	r.startProcess(p)
}

// close ends the run. If the test has failed, it logs the series of faults and the
// end of each process's output.
func (r *run) close() {
	r.EndLoad()
	for _, p := range r.processes {
		r.signal(p, syscall.SIGCONT)
		r.signal(p, syscall.SIGKILL)
	}
	r.exits.Wait()
	for _, p := range r.processes {
		p.store.close()
	}
	for _, p := range r.endpointProxies {
		p.close()
	}
	r.Close()
	if r.t.Failed() {
		r.t.Log(strings.Join(r.events, "\n"))
		for _, p := range r.processes {
			r.t.Logf("%s: %s", p.machine.InstanceID, tail(p.output.String()))
		}
	}
}

// tail returns the last 2000 bytes of s.
func tail(s string) string {
	const keep = 2000
	return s[max(len(s)-keep, 0):]
}

// await waits until condition holds. It ends the test after a time limit that only a
// failed run reaches.
func (r *run) await(what string, condition func() bool) {
	r.t.Helper()
	for end := time.Now().Add(40 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("timed out waiting until %s; %s", what, r.Ledger.Summary())
		}
	}
}

// fault is a kind of fault. The function inject applies it to the process p or the
// endpoint e, for about span, and returns when the fault is over.
type fault struct {
	name   string
	inject func(r *run, p *process, e *standin.Endpoint, span time.Duration)
}

// allFaults lists the kinds of faults. A seed selects faults by index, so that a
// change of the order changes the series of every seed. Faults of the store exclude
// standin.FaultStale, under which instances cannot keep all guarantees. A fault of a
// path sets any mode of its proxy but modeForward.
var allFaults = []fault{
	{"kill", func(r *run, p *process, _ *standin.Endpoint, span time.Duration) {
		r.restart(p, syscall.SIGKILL, span/4)
	}},
	{"stop", func(r *run, p *process, _ *standin.Endpoint, span time.Duration) {
		r.restart(p, syscall.SIGTERM, span/4)
	}},
	{"freeze", func(r *run, p *process, _ *standin.Endpoint, span time.Duration) {
		r.signal(p, syscall.SIGSTOP)
		time.Sleep(span)
		r.signal(p, syscall.SIGCONT)
	}},
	{"reload", func(r *run, p *process, _ *standin.Endpoint, _ time.Duration) { r.signal(p, syscall.SIGHUP) }},
	{"store", func(r *run, _ *process, _ *standin.Endpoint, span time.Duration) {
		r.Store.SetFault("", standin.Fault(1+r.randomInt(int(standin.FaultAnswerLost))))
		time.Sleep(span)
		r.Store.SetFault("", standin.FaultNone)
	}},
	{"store for one instance", func(r *run, p *process, _ *standin.Endpoint, span time.Duration) {
		r.Store.SetFault(p.machine.StoreURL, standin.Fault(1+r.randomInt(int(standin.FaultAnswerLost))))
		time.Sleep(span)
		r.Store.SetFault(p.machine.StoreURL, standin.FaultNone)
	}},
	{"path to the store", func(r *run, p *process, _ *standin.Endpoint, span time.Duration) {
		p.store.setMode(mode(1 + r.randomInt(int(modeCount)-1)))
		time.Sleep(span)
		p.store.setMode(modeForward)
	}},
	{"path to an endpoint", func(r *run, _ *process, e *standin.Endpoint, span time.Duration) {
		for i := range r.Endpoints {
			if r.Endpoints[i] == e {
				r.endpointProxies[i].setMode(mode(1 + r.randomInt(int(modeCount)-1)))
				time.Sleep(span)
				r.endpointProxies[i].setMode(modeForward)
			}
		}
	}},
	{"endpoint silent, flows lost", func(_ *run, _ *process, e *standin.Endpoint, span time.Duration) {
		e.SetCondition(standin.Crashed)
		time.Sleep(span)
		e.SetCondition(standin.Healthy)
	}},
	{"endpoint silent, flows kept", func(_ *run, _ *process, e *standin.Endpoint, span time.Duration) {
		e.SetCondition(standin.Partitioned)
		time.Sleep(span)
		e.SetCondition(standin.Healthy)
	}},
	{"endpoint drains", func(r *run, _ *process, e *standin.Endpoint, span time.Duration) {
		r.Drain(e)
		time.Sleep(standin.DrainTimeLimit + span)
		e.ForbidNewFlows(time.Time{})
		e.SetCondition(standin.Healthy)
	}},
	{"zone out", func(r *run, _ *process, e *standin.Endpoint, span time.Duration) {
		r.SetZoneInService(e.Zone, false)
		time.Sleep(standin.EvacuationTimeLimit + span)
		r.SetZoneInService(e.Zone, true)
	}},
	{"configuration", func(r *run, _ *process, _ *standin.Endpoint, _ time.Duration) {
		if err := r.Configure(true); err != nil {
			r.Ledger.RecordViolation("configure: %v", err)
		}
	}},
	{"store restored", func(r *run, _ *process, _ *standin.Endpoint, span time.Duration) {
		c := r.Store.Copy()
		// These writes are lost, like others in this time, so that revisions go back far.
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(lostWritePeriod) {
			r.Store.Put("other/key", nil)
		}
		r.Store.SetFault("", standin.FaultUnavailable)
		time.Sleep(span / 4)
		r.Restore(c, span/2)
		r.Store.SetFault("", standin.FaultNone)
		time.Sleep(max(span/2, rewriteTime))
	}},
}

// restartFaults lists the faults of endpoints that start again or become cold. They are
// separate from allFaults, so that its seeds keep their series.
var restartFaults = []fault{
	{"endpoint restarts", func(_ *run, _ *process, e *standin.Endpoint, _ time.Duration) {
		e.Restart(coldPeriod)
	}},
	{"endpoint restarts twice", func(_ *run, _ *process, e *standin.Endpoint, span time.Duration) {
		e.Restart(coldPeriod)
		time.Sleep(span / 4)
		e.Restart(coldPeriod)
	}},
	{"endpoint restarts, store restored", func(r *run, _ *process, e *standin.Endpoint, span time.Duration) {
		c := r.Store.Copy()
		e.Restart(coldPeriod)
		time.Sleep(span)
		r.Restore(c, span/2)
		time.Sleep(rewriteTime)
	}},
	{"zone out, endpoints become cold", func(r *run, p *process, e *standin.Endpoint, span time.Duration) {
		r.SetZoneInService(e.Zone, false)
		time.Sleep(standin.EvacuationTimeLimit + span)
		for _, other := range r.Endpoints {
			if other.Zone == e.Zone {
				other.TurnCold(coldPeriod, coldReportLag)
			}
		}
		r.SetZoneInService(e.Zone, true)
		r.restart(p, syscall.SIGKILL, span/8)
	}},
}

// plannedFaults names the planned changes, during which the time limits of guarantees
// remain in force.
var plannedFaults = map[string]bool{"stop": true, "reload": true, "endpoint drains": true, "zone out": true, "configuration": true}

// randomInt returns a random number in [0, n) for a fault in progress. Faults run
// concurrently and cannot use r.random, which is not safe for concurrent use. The
// number therefore does not depend on the seed of the run.
func (r *run) randomInt(n int) int { return rand.IntN(n) }

// injectFaults selects n random faults, which may overlap, and waits until all are
// over. It skips a fault whose process or endpoint is subject to another fault.
// Faults of the whole store or of a zone exclude only faults of the same kind.
func (r *run) injectFaults(n int) {
	var active sync.WaitGroup
	inUse := make(map[any]bool)
	var mu sync.Mutex
	reserve := func(keys ...any) bool {
		mu.Lock()
		defer mu.Unlock()
		for _, k := range keys {
			if inUse[k] {
				return false
			}
		}
		for _, k := range keys {
			inUse[k] = true
		}
		return true
	}
	for range n {
		f := r.faults[r.random.IntN(len(r.faults))]
		p := r.processes[r.random.IntN(len(r.processes))]
		e := r.Endpoints[r.random.IntN(len(r.Endpoints))]
		span := time.Duration(200+r.random.IntN(3800)) * time.Millisecond
		pause := time.Duration(r.random.IntN(1500)) * time.Millisecond
		keys := []any{p, e}
		switch f.name {
		case "store", "store restored":
			keys = []any{"store"}
		case "endpoint restarts, store restored":
			keys = []any{"store", e}
		case "zone out":
			keys = []any{f.name}
		case "zone out, endpoints become cold":
			keys = []any{"zone out", p}
		}
		time.Sleep(pause)
		if !reserve(keys...) {
			continue
		}
		r.events = append(r.events, fmt.Sprintf("%s %s: %s %s for %v", time.Now().Format("15:04:05.000"), f.name, p.machine.InstanceID, e.ID, span))
		active.Go(func() {
			stop := make(chan struct{})
			if !plannedFaults[f.name] {
				go r.suspendTimeLimitsUntil(stop)
			}
			f.inject(r, p, e, span)
			close(stop)
			mu.Lock()
			defer mu.Unlock()
			for _, k := range keys {
				delete(inUse, k)
			}
		})
	}
	active.Wait()
}

// suspendTimeLimitsUntil suspends the time limits of guarantees until stop is closed.
func (r *run) suspendTimeLimitsUntil(stop <-chan struct{}) {
	for {
		r.RecordDisturbance()
		select {
		case <-stop:
			r.RecordDisturbance()
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// checkRecovery checks a run after its last fault and stops its load. It fails the
// test unless all instances become ready again, the next finalRequests requests are
// answered, and no guarantee was violated.
func (r *run) checkRecovery() {
	r.t.Helper()
	r.await("all instances are ready again", func() bool { return r.Routers.ReadyCount() == len(r.processes) })
	r.await("time limits are in force again", r.Stable)
	total, unanswered := r.Ledger.Total(), r.Ledger.Total()-r.Ledger.Answered
	r.await("requests are served again", func() bool { return r.Ledger.Total() >= total+finalRequests })
	if now := r.Ledger.Total() - r.Ledger.Answered; now > unanswered {
		r.t.Errorf("got %d unanswered requests after the last fault, want none", now-unanswered)
	}
	r.EndLoad()
	for _, b := range r.Ledger.Violations() {
		r.t.Error(b)
	}
	r.t.Log(r.Ledger.Summary())
}

// runSoak performs one run with the given seed and number of faults, including restartFaults
// if restarts is true.
func runSoak(t *testing.T, seed uint64, faults int, restarts bool) {
	r := newRun(t, seed)
	r.faults = allFaults
	r.BeginLoad(feedsPerZone, requestsPerSecond)
	if restarts {
		r.faults = slices.Concat(allFaults, restartFaults)
		r.BeginFeeds(slowFeedsPerZone, slowFeedPause)
	}
	r.injectFaults(faults)
	r.checkRecovery()
}

// TestRegressions guards against violated guarantees, unanswered requests and
// instances that do not become ready again under overlapping faults. It performs the
// runs listed in regressions.
func TestRegressions(t *testing.T) {
	for _, c := range regressions {
		name := fmt.Sprint(c.seed)
		if c.restarts {
			name += " with restarts"
		}
		t.Run(name, func(t *testing.T) {
			t.Log(c.cause)
			runSoak(t, c.seed, c.faults, c.restarts)
		})
	}
}

// TestLong searches for seeds whose runs fail in one of the ways that
// TestRegressions guards against. It performs as many runs as the flag -runs says, by
// default none, with consecutive seeds, and is started by hand.
func TestLong(t *testing.T) {
	first := *seed
	if first == 0 {
		first = uint64(time.Now().UnixNano())
	}
	for i := range *runs {
		s := first + uint64(i)
		t.Run(fmt.Sprint(s), func(t *testing.T) {
			t.Parallel()
			runSoak(t, s, *faults, *withRestarts)
		})
	}
}

// TestStaleStoreViolationIsDetected guards against a harness that misses violated
// guarantees. A store that serves stale reads makes instances assign new flows to
// draining endpoints, which the ledger must report.
func TestStaleStoreViolationIsDetected(t *testing.T) {
	r := newRun(t, 1)
	r.BeginLoad(feedsPerZone, requestsPerSecond)
	r.Store.SetFault("", standin.FaultStale)
	// Drain all endpoints: a single one may receive no new flow if it holds a feed
	// and the others are idle.
	for _, e := range r.Endpoints {
		r.Drain(e)
	}
	r.await("the ledger reports a violated guarantee", func() bool { return len(r.Ledger.Violations()) > 0 })
	r.t.Log(r.Ledger.Violations()[0])
}
