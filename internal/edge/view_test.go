package edge

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/directory"
	"carawaycart/core/steer"
	"carawaycart/message"
	"carawaycart/platform"
)

// manualClock is a clock that moves only when a test sets it.
type manualClock struct{ now atomic.Pointer[time.Time] }

func (c *manualClock) Now() time.Time { return *c.now.Load() }

func (c *manualClock) set(now time.Time) { c.now.Store(&now) }

const (
	testConfig = `{"version":1,"routes":[{"name":"feed","host":"198.18.0.1","prefix":"/8443/","service":"desk","type":"safe"}],` +
		`"services":[{"name":"desk","health_path":"/health","max_conns":10,"cold_per_s":4}],"limits":{"idle_timeout_ms":30000}}`
	testEntry = `{"service":"desk","address":"10.0.0.1:80","zone":"a","version":"v1","slots":2,"state":"ready","cold_left_ms":0,"seq":1,"born":5}`
)

// viewFixture is a view, with its router, that has read the store at revision 10, which
// lists the endpoint i-1. Probes are refused.
type viewFixture struct {
	*View
	clock *manualClock
	began time.Time
	token carawaycart.Token
	flows uint16 // number of flows that request has used
}

func newViewFixture(t *testing.T) *viewFixture {
	t.Helper()
	clock := &manualClock{}
	clock.set(time.Unix(1000, 0))
	counters := NewCounters()
	prober := NewProber(clock, counters, nil)
	r := steer.NewRouter("a", rand.NewPCG(1, 1), &observer{counters: counters, prober: prober})
	prober.router, prober.loading = r, func() bool { return false }
	prober.notifySilent, prober.notifyRestarted, prober.reset = func(carawaycart.Token) {}, func(carawaycart.Token) {}, func([]carawaycart.Packet) {}
	prober.client.Transport = roundTripper(func(*http.Request) (*http.Response, error) { return nil, syscall.ECONNREFUSED })
	t.Cleanup(prober.Close)
	f := &viewFixture{View: NewView("self", steer.ColdLimits{}, r, clock, nil), clock: clock, began: clock.Now()}
	f.read(0, 10, testItem("servers/i-1", 9, testEntry))
	f.token = r.Table().Token(carawaycart.LifetimeKey{ID: "i-1", StartedAt: 5})
	if got := f.request(); got.Verdict != carawaycart.VerdictForward {
		t.Fatalf("got verdict %d for %s, want the flow forwarded at first", got.Verdict, got.Cause)
	}
	return f
}

func testItem(key string, revision carawaycart.StoreRevision, value string) carawaycart.StoreItem {
	return carawaycart.StoreItem{Key: key, Revision: revision, Value: []byte(value)}
}

// at sets the clock to d after the fixture's first read and returns the time.
func (f *viewFixture) at(d time.Duration) time.Time {
	f.clock.set(f.began.Add(d))
	return f.clock.Now()
}

// read applies a read of the store that begins and ends at d and returns the
// configuration and items.
func (f *viewFixture) read(d time.Duration, revision carawaycart.StoreRevision, items ...carawaycart.StoreItem) {
	now := f.at(d)
	f.ApplyRead(platform.RangeResult{Revision: revision, Items: append(items, testItem("op/config", 5, testConfig))}, now)
}

// request returns the decision for a request on an open flow at i-1, a different flow for
// each call.
func (f *viewFixture) request() carawaycart.Decision {
	f.flows++
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), 40000+f.flows)
	return f.router.Decide(&carawaycart.Packet{
		Key: carawaycart.FlowKey{
			Caller: caller, Service: netip.MustParseAddrPort("198.18.0.1:8443"), Protocol: carawaycart.TCP,
		},
		Sequence: 1001, Acknowledged: 500, PayloadBytes: 200, Token: f.token,
	}, f.clock.Now())
}

// tellEnded returns the lifetimes that have ended as a peer receives them.
func (f *viewFixture) tellEnded(t *testing.T) []directory.EndedLifetime {
	t.Helper()
	reply, err := message.FromSnapshot(directory.Snapshot{Ended: f.EndedLifetimes()}, 0)
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := message.ToSnapshot(reply)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot.Ended
}

// wantNoReset fails the test if i-1 has ended or the open flow at i-1 is reset.
func (f *viewFixture) wantNoReset(t *testing.T, when string) {
	t.Helper()
	if got := f.router.Endpoints(f.clock.Now())[0].Presence; got == directory.Ended {
		t.Errorf("got the endpoint ended %s", when)
	}
	if got := f.request(); got.Verdict == carawaycart.VerdictReset {
		t.Errorf("got the open flow reset for %s %s", got.Cause, when)
	}
}

// wantReset fails the test if the open flow at i-1 is not reset once probes have failed.
func (f *viewFixture) wantReset(t *testing.T, what string) {
	t.Helper()
	got := f.request()
	for end := time.Now().Add(5 * time.Second); got.Cause != carawaycart.CauseEnded && time.Now().Before(end); got = f.request() {
		time.Sleep(10 * time.Millisecond)
	}
	if got.Cause != carawaycart.CauseEnded {
		t.Errorf("got verdict %d for %s %s, want a reset", got.Verdict, got.Cause, what)
	}
}

// The store is down from 0.1 to 2.1 s, and an entry that expired meanwhile returns 1.8 s
// later. Guards against resetting flows because the instance that reads first is one whose
// own reads did not fail.
func TestOutageNoticedByPeersEndsNoLifetime(t *testing.T) {
	removal := directory.Delta{From: directory.Position{Revision: 10}, To: directory.Position{Revision: 11}, RemovedKeys: []string{"servers/i-1"}}
	for _, test := range []struct {
		name string
		read func(*viewFixture)
	}{
		{"own read", func(f *viewFixture) { f.read(2200*time.Millisecond, 11) }},
		{"update of a peer", func(f *viewFixture) { f.ApplyUpdate(removal, "n1", f.at(2200*time.Millisecond)) }},
		{"read that began during the outage", func(f *viewFixture) {
			f.at(2200 * time.Millisecond)
			f.ApplyRead(platform.RangeResult{Revision: 11, Items: []carawaycart.StoreItem{testItem("op/config", 5, testConfig)}}, f.began.Add(1300*time.Millisecond))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newViewFixture(t)
			f.RecordFailedRead("n1", f.at(600*time.Millisecond))
			f.RecordFailedRead("n2", f.at(1200*time.Millisecond))
			test.read(f)
			f.wantNoReset(t, "by the first read after the outage")
			f.read(2800*time.Millisecond, 12)
			f.wantNoReset(t, "0.7 s after the outage")
			f.read(4*time.Second, 13, testItem("servers/i-1", 13, testEntry))
			if got := f.request(); got.Verdict != carawaycart.VerdictForward {
				t.Errorf("got verdict %d for %s after the entry returned, want the packet forwarded", got.Verdict, got.Cause)
			}
			// Later, the same absence is an end.
			for n := range 20 {
				f.read(time.Duration(4600+600*n)*time.Millisecond, carawaycart.StoreRevision(14+n))
			}
			f.wantReset(t, "of an endpoint that stays gone")
		})
	}
}

// The store turns some instances away while others read on. Guards against waiting for
// the return of endpoints that are gone.
func TestReadsThatFailForSomeDoNotDelayTheEnd(t *testing.T) {
	f := newViewFixture(t)
	for n := range 4 {
		f.RecordFailedRead("n1", f.at(time.Duration(300+600*n)*time.Millisecond))
		f.read(time.Duration(600+600*n)*time.Millisecond, 10, testItem("servers/i-1", 9, testEntry))
	}
	f.read(3*time.Second, 11)
	f.wantReset(t, "of an endpoint that is gone")
}

// The store fails a second time before an expired entry has returned, and again only peers
// notice. Guards against a grace period that passes while the store is down.
func TestLapsedLifetimeOutlastsSecondOutage(t *testing.T) {
	f := newViewFixture(t)
	f.RecordStoreFailure(f.at(1500 * time.Millisecond))
	f.read(2200*time.Millisecond, 11)
	f.read(2500*time.Millisecond, 11)
	f.RecordFailedRead("n1", f.at(3100*time.Millisecond))
	f.RecordFailedRead("n2", f.at(3900*time.Millisecond))
	f.read(4800*time.Millisecond, 12)
	f.wantNoReset(t, "by the first read after the second outage")
}

// The grace period of a lapsed lifetime passes while nobody reads the store, and the table
// is rebuilt for another reason. Guards against ending the lifetime without a read that
// still misses its entry.
func TestLapsedLifetimeEndsOnlyByRead(t *testing.T) {
	for _, test := range []struct {
		name    string
		rebuild func(*viewFixture)
	}{
		{"ended lifetime of a peer", func(f *viewFixture) {
			f.RecordEnded([]directory.EndedLifetime{{Lifetime: carawaycart.Lifetime{ID: "i-9", StartedAt: 5}}}, "n1")
		}},
		{"new settings", func(f *viewFixture) { f.SetLimits(steer.ColdLimits{ColdSlack: 1}) }},
		{"read that began before", func(f *viewFixture) {
			f.ApplyRead(platform.RangeResult{Revision: 12, Items: []carawaycart.StoreItem{testItem("op/config", 5, testConfig)}}, f.began.Add(3900*time.Millisecond))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newViewFixture(t)
			f.RecordStoreFailure(f.at(1500 * time.Millisecond))
			f.read(2200*time.Millisecond, 11)
			f.wantNoReset(t, "by the first read after the outage")
			f.at(4800 * time.Millisecond)
			test.rebuild(f)
			f.wantNoReset(t, "without a read after the grace period")
		})
	}
}

// Another writer overwrites the entry of a living endpoint with one of a service that no
// configuration names. Guards against resetting the flows of the endpoint.
func TestEntryOfUnknownServiceEndsNoLifetime(t *testing.T) {
	f := newViewFixture(t)
	f.read(600*time.Millisecond, 11, testItem("servers/i-1", 11, `{"service":"elsewhere","address":"10.0.0.1:80","zone":"a","version":"v1","slots":2,"state":"ready","cold_left_ms":0,"seq":1,"born":5}`))
	f.wantNoReset(t, "after its entry was overwritten")
}

// The entry of an endpoint that runs is missing from the store, and an instance starts.
// Guards against resetting the flows of the endpoint on the word of a peer that has only
// missed the entry and forwards them itself, and against forwarding them for ever.
func TestMissingEndpointToldByPeerKeepsItsFlows(t *testing.T) {
	peer := newViewFixture(t)
	peer.read(600*time.Millisecond, 11)
	if got := peer.request(); got.Verdict != carawaycart.VerdictForward {
		t.Fatalf("got verdict %d of the peer for %s, want the flow forwarded", got.Verdict, got.Cause)
	}
	told := peer.tellEnded(t)
	f := newViewFixture(t)
	started := NewView("started", f.limits, f.router, f.clock, nil)
	f.router.SetTable(nil)
	started.ApplyRead(platform.RangeResult{Revision: 11, Items: []carawaycart.StoreItem{testItem("op/config", 5, testConfig)}}, f.at(time.Second))
	started.RecordEnded(told, "peer")
	if got := f.request(); got.Verdict != carawaycart.VerdictForward || got.Address.String() != "10.0.0.1:80" || got.Number != 1 {
		t.Errorf("got verdict %d for %s, to %s with number %d, want the packet forwarded", got.Verdict, got.Cause, got.Address, got.Number)
	}
	f.wantReset(t, "of an endpoint that does not answer")
}

// Reads are regularly 1.8 s apart, as those of an instance that is cut off from its peers.
// Guards against taking each of them for the end of an outage, so that an endpoint that is
// gone never ends.
func TestLapsedLifetimeEndsThoughReadsAreFarApart(t *testing.T) {
	f := newViewFixture(t)
	for n := range 10 {
		f.read(time.Duration(1800*(n+1))*time.Millisecond, carawaycart.StoreRevision(11+n))
	}
	if got := f.router.Endpoints(f.clock.Now())[0].Presence; got != directory.Ended {
		t.Errorf("got presence %d of an endpoint that has been gone for 18 s, want it ended", got)
	}
}

// Guards against more flows than a cold endpoint bears, because each instance takes the
// share of those whose registrations a restore has removed too.
func TestColdShareDoesNotGrowByRestore(t *testing.T) {
	clock := &manualClock{}
	clock.set(time.Unix(1000, 0))
	counters := NewCounters()
	r := steer.NewRouter("a", rand.NewPCG(1, 1), &observer{counters: counters, prober: NewProber(clock, counters, nil)})
	v := NewView("self", steer.ColdLimits{ColdOverrun: 1}, r, clock, nil)
	config := strings.Replace(testConfig, `"cold_per_s":4`, `"cold_per_s":40`, 1)
	entry := strings.Replace(testEntry, `"cold_left_ms":0`, `"cold_left_ms":20000`, 1)
	items := []carawaycart.StoreItem{testItem("op/config", 5, config), testItem("servers/i-1", 9, entry)}
	registrations := testItem("carawaycart/instances/n1-7", 12, `{"instances":[`+
		`{"id":"self","zone":"a","peerAddress":"10.0.0.9:1"},{"id":"n1","zone":"a","peerAddress":"10.0.0.10:1"},`+
		`{"id":"n2","zone":"a","peerAddress":"10.0.0.11:1"},{"id":"n3","zone":"a","peerAddress":"10.0.0.12:1"}]}`)
	port := uint16(1024)
	flows := func() (n int) {
		for range 100 {
			port++
			d := r.Decide(&carawaycart.Packet{
				Kind: carawaycart.PacketFirst,
				Key: carawaycart.FlowKey{
					Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), port), Service: netip.MustParseAddrPort("198.18.0.1:8443"), Protocol: carawaycart.TCP,
				},
			}, clock.Now())
			if d.Verdict == carawaycart.VerdictForward {
				n++
			}
		}
		return n
	}
	v.ApplyRead(platform.RangeResult{Era: 1, Revision: 20, Items: append(items[:2:2], registrations)}, clock.Now())
	before := flows()
	clock.set(clock.Now().Add(2 * time.Second))
	v.ApplyRead(platform.RangeResult{Era: 2, Revision: 10, Items: items}, clock.Now())
	if got := flows(); got > before {
		t.Errorf("got %d flows in a second after the restore, want at most %d, the share of one of four instances", got, before)
	}
}

// An endpoint has started again under its ID, and then an instance starts. Guards against
// resetting flows that were opened with the token of the former lifetime, which only a peer
// knows, before the restart was noticed.
func TestRestartedEndpointToldByPeerKeepsItsFlows(t *testing.T) {
	restarted := strings.Replace(testEntry, `"born":5`, `"born":6`, 1)
	peer := newViewFixture(t)
	peer.read(600*time.Millisecond, 11, testItem("servers/i-1", 11, restarted))
	told := peer.tellEnded(t)
	f := newViewFixture(t)
	started := NewView("started", f.limits, f.router, f.clock, nil)
	f.router.SetTable(nil)
	started.ApplyRead(platform.RangeResult{Revision: 11, Items: []carawaycart.StoreItem{
		testItem("op/config", 5, testConfig), testItem("servers/i-1", 11, restarted),
	}}, f.at(time.Second))
	started.RecordEnded(told, "peer")
	if got := f.request(); got.Verdict != carawaycart.VerdictForward || got.Address.String() != "10.0.0.1:80" || got.Number != 1 {
		t.Errorf("got verdict %d for %s, to %s with number %d, want the packet forwarded", got.Verdict, got.Cause, got.Address, got.Number)
	}
}

// An endpoint has started again under its ID, and a restored store lists the lifetime before,
// for longer than entries take to be written again. Guards against resetting flows that were
// opened meanwhile with the token of that lifetime, once the entry is as it was.
func TestFlowOpenedByRestoredEntryIsNotReset(t *testing.T) {
	restarted := testItem("servers/i-1", 11, strings.Replace(testEntry, `"born":5`, `"born":6`, 1))
	f := newViewFixture(t)
	f.read(600*time.Millisecond, 11, restarted)
	for d := 1200 * time.Millisecond; d < 6*time.Second; d += 600 * time.Millisecond {
		f.ApplyRead(platform.RangeResult{Era: 1, Revision: 9, Items: []carawaycart.StoreItem{
			testItem("op/config", 5, testConfig), testItem("servers/i-1", 9, testEntry),
		}}, f.at(d))
	}
	if e := f.router.Endpoints(f.clock.Now())[0]; e.Token != f.token || e.Presence != directory.Present {
		t.Fatalf("got the lifetime from %d with presence %d, want that of the restored entry present, so that it gets new flows", e.Lifetime.StartedAt, e.Presence)
	}
	f.ApplyRead(platform.RangeResult{Era: 1, Revision: 12, Items: []carawaycart.StoreItem{testItem("op/config", 5, testConfig), restarted}}, f.at(7*time.Second))
	f.at(12 * time.Second)
	if got := f.request(); got.Verdict != carawaycart.VerdictForward {
		t.Errorf("got verdict %d for %s, want the packet forwarded", got.Verdict, got.Cause)
	}
}
