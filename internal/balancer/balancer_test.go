package balancer_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"carawaycart"
	"carawaycart/internal/admin"
	"carawaycart/internal/balancer"
	"carawaycart/internal/settings"
	"carawaycart/internal/standin"
	"carawaycart/io/caller"
	"carawaycart/io/endpoint"
	"carawaycart/io/platform"
)

const readyTimeout = 20 * time.Second

// fixture is one instance with one endpoint whose handler is set by the test.
type fixture struct {
	t        *testing.T
	instance *balancer.Balancer
	runs     atomic.Int64
	handler  atomic.Pointer[http.HandlerFunc]
}

// newFixture returns a running instance that is ready and whose endpoint is open,
// with its own store and instance list.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	r := &fixture{t: t}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Path == "/load" {
			_ = json.NewEncoder(w).Encode(carawaycart.LoadReport{})
			return
		}
		(*r.handler.Load())(w, q)
	}))
	t.Cleanup(server.Close)
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	list, err := standin.NewInstanceList("127.0.0.1:0", 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	r.configure(store, server.Listener.Addr().(*net.TCPAddr).AddrPort())
	r.start(store, list)
	return r
}

func (r *fixture) configure(store *standin.Store, address netip.AddrPort) {
	clock := carawaycart.NewSystemClock()
	a := admin.NewAdmin(platform.NewChangeLog(platform.NewStore(store.URL(), nil), clock), "op", clock)
	for _, o := range []struct {
		kind   carawaycart.ObjectKind
		name   string
		object any
	}{
		{carawaycart.KindZone, "a", carawaycart.Zone{ID: "a"}},
		{carawaycart.KindService, "desk", carawaycart.Service{ID: "desk", Address: netip.MustParseAddrPort("192.0.2.1:443"), Profile: "swift"}},
		{carawaycart.KindEndpoint, "e1", carawaycart.Endpoint{ID: "e1", Service: "desk", Zone: "a", RequestAddress: address, MaxFlows: 10, RequestSlots: 2}},
	} {
		if _, err := a.Put(context.Background(), o.kind, o.name, o.object); err != nil {
			r.t.Fatal(err)
		}
	}
}

func (r *fixture) start(store *standin.Store, list *standin.InstanceList) {
	any := netip.MustParseAddrPort("127.0.0.1:0")
	s := settings.Settings{
		ID: "lb1", Zone: "a", FabricAddress: any, RequestAddress: any, PeerAddress: any, OperatorAddress: any,
		StoreURL: store.URL(), InstanceListURL: list.URL(), FabricThreads: 1,
	}
	sockets, err := balancer.Open(s)
	if err != nil {
		r.t.Fatal(err)
	}
	list.Add(carawaycart.ListedInstance{ID: "lb1", Zone: "a", PeerAddress: sockets.Peer.Addr().(*net.TCPAddr).AddrPort()})
	if r.instance, err = balancer.New(s, sockets, carawaycart.NewSystemClock()); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(r.instance.Kill)
	deadline := time.Now().Add(readyTimeout)
	for !r.instance.Ready() || r.instance.Board.Entry("e1").Status().State != carawaycart.EndpointOpen {
		if time.Now().After(deadline) {
			r.t.Fatal("the instance did not become ready with an open endpoint in time")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// setHandler sets the handler of the endpoint and counts its calls as runs.
func (r *fixture) setHandler(h http.HandlerFunc) {
	counted := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.runs.Add(1)
		h(w, q)
	})
	r.handler.Store(&counted)
}

// send sends a request and returns its outcome, cause and body. The outcome is
// "broken" if the body is truncated.
func (r *fixture) send(method, key, body string) (outcome, cause, answer string) {
	r.t.Helper()
	q, err := http.NewRequest(method, "http://"+r.instance.RequestAddress().String()+"/order", strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	q.Host = "desk"
	if key != "" {
		q.Header.Set(caller.IdempotencyKeyHeader, key)
	}
	response, err := http.DefaultClient.Do(q)
	if err != nil {
		r.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "broken", "", string(data)
	}
	return response.Header.Get(caller.OutcomeHeader), response.Header.Get(caller.CauseHeader), string(data)
}

func abortConnection(_ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

// Guards against keyed requests that run twice, and against answers that state a
// wrong outcome after the endpoint sheds, aborts or truncates.
func TestRequests(t *testing.T) {
	r := newFixture(t)

	t.Run("a keyed request is answered once and its answer stored", func(t *testing.T) {
		r.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "confirmed") })
		before := r.runs.Load()
		for range 3 {
			if outcome, _, body := r.send("POST", "kept", "a"); outcome != "answered" || body != "confirmed" {
				t.Errorf("got %s %q, want the stored answer", outcome, body)
			}
		}
		if n := r.runs.Load() - before; n != 1 {
			t.Errorf("got %d runs, want 1", n)
		}
		if outcome, cause, _ := r.send("POST", "kept", "b"); outcome != "notRun" || cause != "keyMisused" {
			t.Errorf("other body: got %s for %s, want notRun for keyMisused", outcome, cause)
		}
	})

	// Guards against a request that runs twice: net/http regards a request with an
	// idempotency key as safe to resend when a reused connection breaks.
	t.Run("a keyed request whose connection breaks is not resent", func(t *testing.T) {
		for _, body := range []string{"", "a"} {
			r.setHandler(func(http.ResponseWriter, *http.Request) {})
			r.send("GET", "", "") // leaves an idle connection for reuse
			r.setHandler(abortConnection)
			before := r.runs.Load()
			outcome, cause, _ := r.send("POST", "broken"+body, body)
			if outcome != "unknown" || cause != "endpointLost" {
				t.Errorf("body %q: got %s for %s, want unknown for endpointLost", body, outcome, cause)
			}
			if outcome, cause, _ := r.send("POST", "broken"+body, body); outcome != "unknown" || cause != "earlierAttempt" {
				t.Errorf("body %q: retry: got %s for %s, want unknown for earlierAttempt", body, outcome, cause)
			}
			if n := r.runs.Load() - before; n != 1 {
				t.Errorf("body %q: got %d runs, want 1", body, n)
			}
		}
	})

	t.Run("a keyed request that the endpoint did not run may be retried", func(t *testing.T) {
		r.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(endpoint.NotRunHeader, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		if outcome, _, _ := r.send("POST", "shed", "a"); outcome != "notRun" {
			t.Errorf("got %s, want notRun", outcome)
		}
		time.Sleep(1100 * time.Millisecond) // an endpoint that shed a request gets none for 1 s
		r.setHandler(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "confirmed") })
		if outcome, cause, _ := r.send("POST", "shed", "a"); outcome != "answered" {
			t.Errorf("retry: got %s for %s, want answered", outcome, cause)
		}
	})

	t.Run("a request without a key is sent once", func(t *testing.T) {
		r.setHandler(abortConnection)
		before := r.runs.Load()
		if outcome, _, _ := r.send("POST", "", "a"); outcome != "unknown" {
			t.Errorf("got %s, want unknown", outcome)
		}
		if n := r.runs.Load() - before; n != 1 {
			t.Errorf("got %d runs, want 1", n)
		}
	})

	t.Run("a truncated answer is not passed on as complete", func(t *testing.T) {
		r.setHandler(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "1000")
			_, _ = io.WriteString(w, "part")
		})
		if outcome, _, _ := r.send("GET", "", ""); outcome != "broken" {
			t.Errorf("got %s, want a truncated answer", outcome)
		}
		if outcome, cause, _ := r.send("POST", "cut", "a"); outcome != "unknown" || cause != "endpointLost" {
			t.Errorf("keyed: got %s for %s, want unknown for endpointLost", outcome, cause)
		}
	})
}

// Guards against requests that outlive their callers, because a deadline or a
// cancellation does not reach the endpoint or a stalled body is not aborted.
func TestDeadlinesAndCancellation(t *testing.T) {
	r := newFixture(t)
	url := "http://" + r.instance.RequestAddress().String() + "/order"

	t.Run("the endpoint receives the remaining time of the caller", func(t *testing.T) {
		var left atomic.Int64
		r.setHandler(func(_ http.ResponseWriter, q *http.Request) {
			ms, _ := strconv.Atoi(q.Header.Get(caller.TimeoutHeader))
			left.Store(int64(ms))
		})
		q, _ := http.NewRequest("GET", url, nil)
		q.Host = "desk"
		q.Header.Set(caller.TimeoutHeader, "5000")
		response, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if ms := left.Load(); ms <= 0 || ms > 5000 {
			t.Errorf("got %d ms forwarded, want at most the caller's 5000", ms)
		}
	})

	t.Run("a caller's cancellation reaches the endpoint", func(*testing.T) {
		entered, cancelled := make(chan struct{}), make(chan struct{})
		r.setHandler(func(_ http.ResponseWriter, q *http.Request) {
			close(entered)
			<-q.Context().Done()
			close(cancelled)
		})
		ctx, cancel := context.WithCancel(context.Background())
		q, _ := http.NewRequestWithContext(ctx, "GET", url, nil)
		q.Host = "desk"
		done := make(chan struct{})
		go func() {
			defer close(done)
			if response, err := http.DefaultClient.Do(q); err == nil {
				_ = response.Body.Close()
			}
		}()
		<-entered
		cancel()
		<-cancelled
		<-done
	})

	t.Run("a request with a stalled body is aborted", func(t *testing.T) {
		before := r.runs.Load()
		conn, err := net.Dial("tcp", r.instance.RequestAddress().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "POST /order HTTP/1.1\r\nHost: desk\r\nIdempotency-Key: slow\r\n"+
			"Request-Timeout-Ms: 100\r\nContent-Length: 10\r\n\r\nhalf")
		answer, err := io.ReadAll(conn)
		if err != nil || !strings.Contains(string(answer), "bodyCutOff") {
			t.Errorf("got %q, %v; want a refusal for bodyCutOff", answer, err)
		}
		if n := r.runs.Load() - before; n != 0 {
			t.Errorf("got %d requests forwarded, want none", n)
		}
		counter, ok := r.instance.Counters.Registry.Get("requestsByCause.bodyCutOff").(metrics.Counter)
		if !ok || counter.Count() != 1 {
			t.Errorf("the refusal was not counted by its cause")
		}
	})
}

// Guards against a graceful shutdown that aborts a running request.
func TestStopFinishesRunningRequests(t *testing.T) {
	r := newFixture(t)
	entered := make(chan struct{})
	r.setHandler(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(w, "confirmed")
	})
	done := make(chan string)
	go func() {
		outcome, _, body := r.send("POST", "slow", "a")
		done <- outcome + " " + body
	}()
	<-entered
	if err := r.instance.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	if got := <-done; got != "answered confirmed" {
		t.Errorf("got %q, want the whole answer", got)
	}
}

// Guards against a peer port that is chosen for TCP while it is in use for UDP.
func TestOpenPairsTCPAndUDPPeerPorts(t *testing.T) {
	any := netip.MustParseAddrPort("127.0.0.1:0")
	for range 200 {
		o, err := balancer.Open(settings.Settings{FabricAddress: any, RequestAddress: any, PeerAddress: any, OperatorAddress: any})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(o.Close)
		tcp, udp := o.Peer.Addr().(*net.TCPAddr).Port, o.Relay.LocalAddr().(*net.UDPAddr).Port
		if tcp != udp {
			t.Fatalf("got TCP port %d and UDP port %d, want the same", tcp, udp)
		}
	}
}
