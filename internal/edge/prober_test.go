package edge

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"carawaycart"
)

// An address is given to another endpoint after an end: its answer must not be
// taken for the answer of the one before.
func TestProbeTellsEndpointsApart(t *testing.T) {
	for _, test := range []struct {
		name, answers string
		want          bool
	}{
		{"the same", "i-1", true},
		{"another", "i-2", false},
		{"one that names nobody", "", true},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if test.answers != "" {
				w.Header().Set("X-Instance-Id", test.answers)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		p := NewProber(carawaycart.NewSteadyClock(), NewCounters(), nil)
		if got := p.ask(s.URL, "i-1"); got != test.want {
			t.Errorf("%s: got alive %t, want %t", test.name, got, test.want)
		}
		p.Close()
		s.Close()
	}
}

func TestProbeOfNobody(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	p := NewProber(carawaycart.NewSteadyClock(), NewCounters(), nil)
	defer p.Close()
	if p.ask(s.URL, "i-1") {
		t.Error("got a closed port alive")
	}
}

// A host that is overloaded accepts connections and answers late: it lives.
func TestProbeOfABusyEndpoint(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer s.Close()
	p := NewProber(carawaycart.NewSteadyClock(), NewCounters(), nil)
	defer p.Close()
	if !p.ask(s.URL, "i-1") {
		t.Error("got an endpoint that accepts connections taken for dead")
	}
}
