package edge

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/steer"
)

// After a lifetime has ended, its address may be given to another endpoint, or its endpoint
// starts again. Guards against counting the answer of another endpoint or of a later lifetime
// as an answer of the old one.
func TestProbeChecksEndpointIdentity(t *testing.T) {
	for _, test := range []struct {
		name, responder, body string
		want                  steer.ProbeOutcome
	}{
		{"the same endpoint", "i-1", "", steer.ProbeAnswered},
		{"another endpoint", "i-2", "", steer.ProbeRefused},
		{"an answer without an ID", "", "", steer.ProbeAnswered},
		{"the same lifetime", "i-1", `{"id":"i-1","born":5}`, steer.ProbeAnswered},
		{"a later lifetime", "i-1", `{"id":"i-1","born":6}`, steer.ProbeRestarted},
		{"a later lifetime of another endpoint", "i-2", `{"id":"i-2","born":6}`, steer.ProbeRefused},
		{"an earlier lifetime", "i-1", `{"born":4}`, steer.ProbeAnswered},
		{"a start that is no number", "i-1", `{"born":"6"}`, steer.ProbeAnswered},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if test.responder != "" {
				w.Header().Set("X-Instance-Id", test.responder)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, test.body)
		}))
		p := NewProber(carawaycart.NewMonotonicClock(), NewCounters(), nil)
		if got := p.probeOnce(s.URL, &carawaycart.Lifetime{ID: "i-1", StartedAt: 5}); got != test.want {
			t.Errorf("%s: got outcome %d, want %d", test.name, got, test.want)
		}
		p.Close()
		s.Close()
	}
}

// An endpoint whose process has ended refuses connections. Guards against counting it
// as alive.
func TestProbeOfClosedPort(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	p := NewProber(carawaycart.NewMonotonicClock(), NewCounters(), nil)
	defer p.Close()
	if p.probeOnce(s.URL, &carawaycart.Lifetime{ID: "i-1"}) != steer.ProbeRefused {
		t.Error("got alive for a closed port, want not alive")
	}
}

// An overloaded endpoint accepts connections but answers late. Guards against
// counting it as not alive, so that it becomes silent.
func TestProbeOfOverloadedEndpoint(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer s.Close()
	p := NewProber(carawaycart.NewMonotonicClock(), NewCounters(), nil)
	defer p.Close()
	if p.probeOnce(s.URL, &carawaycart.Lifetime{ID: "i-1"}) != steer.ProbeAnswered {
		t.Error("got not alive for an endpoint that accepts connections, want alive")
	}
}

// A large answer of the store fills a narrow link, so that probes get no answer in time.
// Guards against taking the endpoint for silent, and resetting its flows, meanwhile.
func TestProbeWhileTheOwnLinkIsFull(t *testing.T) {
	d, _, prober := newTestInstance(t)
	var loading atomic.Bool
	loading.Store(true)
	prober.loading = loading.Load
	endpoint := d.router.Endpoints(d.clock.Now())[0].Lifetime
	prober.Probe(&endpoint)
	time.Sleep(600 * time.Millisecond) // several probes
	if d.router.Endpoints(d.clock.Now())[0].Silent {
		t.Error("got the endpoint silent while the own link is full")
	}
	loading.Store(false)
	for end := time.Now().Add(10 * time.Second); !d.router.Endpoints(d.clock.Now())[0].Silent; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("got the endpoint not silent after the link was free")
		}
	}
}

// lateClock is a monotonic clock with an offset that tests advance.
type lateClock struct {
	carawaycart.MonotonicClock
	offset atomic.Int64
}

func (c *lateClock) Now() time.Time {
	return c.MonotonicClock.Now().Add(time.Duration(c.offset.Load()))
}

// roundTripper is a function that implements http.RoundTripper.
type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// The processor of the instance stands still while probes wait, so that their timeouts are
// noticed a second late and before answers that have arrived. Guards against taking the
// endpoint for silent.
func TestProbeThatWasLateIsNoEvidence(t *testing.T) {
	d, _, prober := newTestInstance(t)
	clock := &lateClock{}
	prober.clock = clock
	var probes atomic.Int32
	prober.client.Transport = roundTripper(func(r *http.Request) (*http.Response, error) {
		<-r.Context().Done()
		clock.offset.Add(int64(time.Second))
		probes.Add(1)
		return nil, r.Context().Err()
	})
	endpoint := d.router.Endpoints(clock.Now())[0].Lifetime
	prober.Probe(&endpoint)
	for end := time.Now().Add(5 * time.Second); probes.Load() < 3; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %d probes in 5 s, want 3", probes.Load())
		}
		if d.router.Endpoints(clock.Now())[0].Silent {
			t.Fatal("got the endpoint silent from probes whose timeouts were noticed a second late")
		}
	}
}

// An endpoint at its limit of connections resets the one of a probe before the instance has
// seen that it was established. Guards against taking the endpoint for silent and resetting
// its open flows; a refused connection remains evidence.
func TestFullEndpointIsNotSilent(t *testing.T) {
	for _, test := range []struct {
		err    error
		silent bool
	}{{syscall.ECONNRESET, false}, {syscall.ECONNREFUSED, true}} {
		d, _, prober := newTestInstance(t)
		var probes atomic.Int32
		prober.client.Transport = roundTripper(func(*http.Request) (*http.Response, error) {
			probes.Add(1)
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", test.err)}
		})
		endpoint := d.router.Endpoints(d.clock.Now())[0].Lifetime
		for n := int32(1); n <= 3; n++ {
			prober.Probe(&endpoint)
			for end := time.Now().Add(time.Second); probes.Load() < n && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
			}
		}
		if got := d.router.Endpoints(d.clock.Now())[0].Silent; got != test.silent {
			t.Errorf("%v: got silent %t after %d probes, want %t", test.err, got, probes.Load(), test.silent)
		}
	}
}
