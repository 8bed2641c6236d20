package edge_test

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"carawaycart/internal/edge"
	"carawaycart/internal/eventlog"
	"carawaycart/internal/settings"
	"carawaycart/io/operator"
	"carawaycart/platform/standin"
)

// instance is an instance under test on a machine of a site. The field running is
// nil while it is stopped.
type instance struct {
	machine  standin.Machine
	running  *edge.Instance
	log      *eventlog.Log
	logLines logLines
}

// logLines collects the log of an instance, to be printed if the test fails. It is
// safe for concurrent use.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logLines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// fleet is a site with running instances.
type fleet struct {
	*standin.Site
	instances []*instance
}

// newFleet starts a site with the given numbers of zones, of endpoints and of
// instances per zone, and waits until all instances are in rotation.
func newFleet(t *testing.T, zones, endpoints, perZone int) *fleet {
	t.Helper()
	s, err := standin.NewSite(zones, endpoints)
	if err != nil {
		t.Fatal(err)
	}
	f := &fleet{Site: s}
	t.Cleanup(func() {
		s.EndLoad()
		for _, i := range f.instances {
			if i.running != nil {
				i.running.Close()
				i.log.Close()
			}
			if t.Failed() {
				t.Logf("%s logged:\n%s", i.machine.InstanceID, i.logLines.String())
			}
		}
		s.Close()
	})
	f.addInstances(t, perZone)
	return f
}

// addInstances starts perZone instances in each zone of f, which has none, and waits
// until all are in rotation.
func (f *fleet) addInstances(t *testing.T, perZone int) {
	t.Helper()
	for _, zone := range f.Zones {
		for n := range perZone {
			m, err := f.AddMachine(zone, n)
			if err != nil {
				t.Fatal(err)
			}
			i := &instance{machine: m}
			f.instances = append(f.instances, i)
			f.start(t, i, "")
		}
	}
	f.await(t, "all instances are in rotation", func() bool { return f.Routers.ReadyCount() == len(f.instances) })
}

// start starts an instance. extraSettings are appended to its settings file.
func (f *fleet) start(t *testing.T, i *instance, extraSettings string) {
	t.Helper()
	s, err := settings.Parse(i.machine.InstanceID, []byte(f.Settings(i.machine)+extraSettings))
	if err != nil {
		t.Fatal(err)
	}
	sockets, err := edge.OpenSockets(s)
	if err != nil {
		t.Fatal(err)
	}
	i.log = eventlog.New(s.ID, &i.logLines)
	if i.running, err = edge.New(s, sockets, i.log); err != nil {
		t.Fatal(err)
	}
}

// kill closes i immediately, without the graceful shutdown of Stop.
func (f *fleet) kill(i *instance) {
	i.running.Close()
	i.log.Close()
	i.running = nil
}

// await waits until condition holds, and ends the test with an error after 30 s. The
// limit is far above any time that a test requires.
func (f *fleet) await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s; %s", what, f.Ledger.Summary())
		}
	}
}

// awaitRequests waits until n more requests have ended.
func (f *fleet) awaitRequests(t *testing.T, n int) {
	t.Helper()
	before := f.Ledger.Total()
	f.await(t, "requests are served", func() bool { return f.Ledger.Total() >= before+n })
}

// checkLedger ends the load and reports every violation in the ledger of requests.
func (f *fleet) checkLedger(t *testing.T) {
	t.Helper()
	f.EndLoad()
	for _, b := range f.Ledger.Violations() {
		t.Error(b)
	}
	t.Log(f.Ledger.Summary(), "store calls", f.Store.Calls())
}

// Guards against requests that fail although all endpoints and the store are healthy.
func TestHealthyFleetAnswersEveryRequest(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 3, 2)
	f.BeginLoad(4, 20)
	f.awaitRequests(t, 300)
	f.checkLedger(t)
	if l := f.Ledger; l.Unknown > 0 || l.NotRun > 0 {
		t.Errorf("got %s, want every request answered", l.Summary())
	}
}

// Guards against each instance reading the store by itself, which multiplies the
// load of the store by the size of the fleet.
func TestFleetSharesStoreReads(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2, 4)
	f.BeginLoad(1, 5)
	f.awaitRequests(t, 20)
	before, began := f.Store.Calls(), time.Now()
	f.awaitRequests(t, 60)
	perSecond := float64(f.Store.Calls()-before) / time.Since(began).Seconds()
	if perSecond > 8 { // one call per instance per second
		t.Errorf("got %.1f store calls per second from 8 instances, want at most one per instance", perSecond)
	}
	f.checkLedger(t)
}

// An endpoint drains, a zone is evacuated and taken back, a cold endpoint is added and
// a new configuration is written. Guards against new flows sent to the draining
// endpoint or the evacuated zone, and against requests lost in these changes.
func TestEndpointZoneAndConfigurationChanges(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 3, 2)
	f.BeginLoad(4, 20)
	f.awaitRequests(t, 100)
	f.Drain(f.Endpoints[0])
	f.SetZoneInService("b", false)
	f.awaitRequests(t, 300)
	f.SetZoneInService("b", true)
	if _, err := f.AddEndpoint("a", 2*time.Second); err != nil {
		t.Fatal(err)
	}
	if err := f.Configure(true); err != nil {
		t.Fatal(err)
	}
	f.awaitRequests(t, 300)
	f.checkLedger(t)
}

// One endpoint is unreachable and has lost its flows, and another is unreachable for a
// time and keeps its flows. Guards against requests that keep being sent to endpoints
// that do not answer.
func TestUnreachableEndpoints(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 3, 2)
	f.BeginLoad(4, 20)
	f.awaitRequests(t, 100)
	f.Endpoints[1].SetCondition(standin.Crashed)
	f.Endpoints[4].SetCondition(standin.Partitioned)
	f.awaitRequests(t, 200)
	f.Endpoints[4].SetCondition(standin.Healthy)
	f.awaitRequests(t, 200)
	f.checkLedger(t)
	if f.Ledger.Answered < 400 {
		t.Errorf("got %s, want most requests answered", f.Ledger.Summary())
	}
}

// Each fault of the store affects first all instances, and then all but one. Guards
// against changes that do not reach the others through the one that reads the store.
func TestStoreFaults(t *testing.T) {
	for name, fault := range map[string]standin.Fault{
		"busy": standin.FaultUnavailable, "many": standin.FaultTooManyRequests, "silent": standin.FaultSilent,
		"reset": standin.FaultReset, "slow": standin.FaultSlow, "lost": standin.FaultAnswerLost,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 2, 2, 2)
			healthyStore := f.instances[0].machine.StoreURL
			f.BeginLoad(3, 10)
			f.Store.SetFault("", fault)
			f.awaitRequests(t, 60)
			f.Store.SetFault(healthyStore, standin.FaultNone)
			f.awaitRequests(t, 60)
			f.Drain(f.Endpoints[0])
			f.awaitRequests(t, 150)
			f.Store.SetFault("", standin.FaultNone)
			f.awaitRequests(t, 60)
			f.checkLedger(t)
			if f.Ledger.Unknown > 0 {
				t.Errorf("got %s, want every request answered", f.Ledger.Summary())
			}
		})
	}
}

// Guards against flows that break when the instance that forwards them is killed,
// restarted or shut down gracefully.
func TestInstancesStopAndRestart(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 3, 3)
	f.BeginLoad(4, 20)
	f.awaitRequests(t, 100)
	f.kill(f.instances[0])
	f.awaitRequests(t, 150)
	f.start(t, f.instances[0], "")
	f.instances[3].running.Stop() // a graceful shutdown, unlike kill
	f.instances[3].running = nil
	f.awaitRequests(t, 150)
	f.checkLedger(t)
}

// Guards against an instance that cannot start during an outage of the store,
// although a peer could send it a snapshot.
func TestStartWithoutStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 2, 2)
	f.BeginLoad(2, 10)
	f.awaitRequests(t, 30)
	f.Store.SetFault("", standin.FaultSilent)
	i := f.instances[0]
	f.kill(i)
	f.start(t, i, "[peers]\nseeds = "+f.instances[1].machine.IP+":1\n")
	f.await(t, "the instance is ready without the store", i.running.Ready)
	f.awaitRequests(t, 60)
	f.checkLedger(t)
}

// An instance that reaches neither endpoints nor the store must leave the rotation,
// so that other zones receive its packets, and must return when an endpoint is
// reachable again. Guards against packets lost in an isolated instance.
func TestIsolatedInstanceIsNotReady(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 2, 1)
	f.BeginLoad(2, 20)
	f.awaitRequests(t, 30)
	for _, h := range f.Endpoints {
		h.SetCondition(standin.Unreachable)
	}
	f.awaitRequests(t, 60)
	if e := f.instances[0].running; !e.Ready() {
		t.Error("got an instance that reaches the store not ready, want ready, since other zones cannot reach the endpoints either")
	}
	f.Store.SetFault("", standin.FaultSilent)
	f.await(t, "the isolated instance is out of rotation", func() bool { return f.Routers.ReadyCount() == 0 })
	if s := f.instances[0].running.Status(); s.State != "isolated" || len(s.Alarms) == 0 {
		t.Errorf("got state %s, alarms %q, want isolated and an alarm", s.State, s.Alarms)
	}
	f.Endpoints[0].SetCondition(standin.Healthy)
	f.await(t, "the instance is back in rotation", func() bool { return f.Routers.ReadyCount() == 1 })
	f.awaitRequests(t, 30)
	f.checkLedger(t)
}

// Operators query the status, explanations of flows, and metrics of a running
// instance. Guards against an unreachable endpoint without an alarm, a flow without an
// explanation, and metrics that are not listed.
func TestStatusMetricsAndExplain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 2, 2)
	f.BeginLoad(2, 10)
	f.awaitRequests(t, 40)
	f.Endpoints[1].SetCondition(standin.Unreachable)
	e := f.instances[0].running
	f.await(t, "the unreachable endpoint raises an alarm", func() bool { return len(e.Status().Alarms) > 0 })
	s := e.Status()
	if s.State != "ready" || len(s.Members) != 2 || len(s.Endpoints) != 2 {
		t.Errorf("got state %s, %d members, %d endpoints, want ready, 2, 2", s.State, len(s.Members), len(s.Endpoints))
	}
	key, err := operator.ParseFlow("tcp", "100.64.0.1:1024", "198.18.0.1:8443")
	if err != nil {
		t.Fatal(err)
	}
	if x, err := e.ExplainFlow(key); err != nil || x.Rule == "" {
		t.Errorf("got rule %q, %v, want a rule and no error", x.Rule, err)
	}
	key.Service = netip.MustParseAddrPort("198.18.7.7:1")
	if _, err := e.ExplainFlow(key); !errors.Is(err, errors.NotFound) {
		t.Errorf("got error %v for an address without a route, want NotFound", err)
	}
	response, err := http.Get("http://" + f.instances[0].machine.OperatorAddress + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"carawaycart_flowsPlaced ", `carawaycart_decisionNanos{quantile="0.99"}`, "carawaycart_viewAgeMillis ", `carawaycart_storeCalls{kind="range.done"}`} {
		if !strings.Contains(string(body), want) {
			t.Errorf("got no %s in the metrics:\n%s", want, body)
		}
	}
}
