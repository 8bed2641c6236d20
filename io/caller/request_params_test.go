package caller_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"

	"carawaycart/io/caller"
)

var arrival = time.Unix(1000, 0)

// A request with a malformed or repeated header or an unsupported method must be
// refused, so that it is not forwarded with a wrong key or timeout.
func TestParseRequest(t *testing.T) {
	for _, test := range []struct {
		name   string
		method string
		header http.Header
		valid  bool
	}{
		{"no headers", "GET", nil, true},
		{"keyed", "POST", http.Header{"Idempotency-Key": {"order-1"}}, true},
		{"two keys", "POST", http.Header{"Idempotency-Key": {"a", "b"}}, false},
		{"empty key", "POST", http.Header{"Idempotency-Key": {""}}, false},
		{"over-long key", "POST", http.Header{"Idempotency-Key": {strings.Repeat("k", 256)}}, false},
		{"key with a control character", "POST", http.Header{"Idempotency-Key": {"a\x01"}}, false},
		{"timeout", "POST", http.Header{"Request-Timeout-Ms": {"250"}}, true},
		{"two timeouts", "POST", http.Header{"Request-Timeout-Ms": {"250", "300"}}, false},
		{"negative timeout", "POST", http.Header{"Request-Timeout-Ms": {"-1"}}, false},
		{"overflowing timeout", "POST", http.Header{"Request-Timeout-Ms": {"99999999999999999999"}}, false},
		{"unsupported method", "CONNECT", nil, false},
	} {
		r := httptest.NewRequest(test.method, "http://desk/order", nil)
		for k, v := range test.header {
			r.Header[k] = v
		}
		p, err := caller.ParseRequest(r, arrival)
		if test.valid && (err != nil || p.Service != "desk") {
			t.Errorf("%s: got %+v, %v; want service desk", test.name, p, err)
		}
		if !test.valid && !errors.Is(err, errors.NotValid) {
			t.Errorf("%s: got %v, want a NotValid error", test.name, err)
		}
	}
}

// The deadline must be the arrival plus the timeout in milliseconds.
func TestParseRequestDeadline(t *testing.T) {
	r := httptest.NewRequest("GET", "http://desk/", nil)
	r.Header.Set(caller.TimeoutHeader, "250")
	p, err := caller.ParseRequest(r, arrival)
	if want := arrival.Add(250 * time.Millisecond); err != nil || !p.Deadline.Equal(want) {
		t.Errorf("got deadline %v, error %v; want deadline %v", p.Deadline, err, want)
	}
}

// Hop-by-hop headers, including those that the Connection header lists, must not be
// forwarded.
func TestCopyHeadersDropsHopByHop(t *testing.T) {
	src := http.Header{
		"Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"}, "Transfer-Encoding": {"chunked"},
		"Upgrade": {"websocket"}, "X-End": {"1"},
	}
	dst := http.Header{}
	caller.CopyHeaders(dst, src)
	if len(dst) != 1 || dst.Get("X-End") != "1" {
		t.Errorf("got %v, want only X-End", dst)
	}
}

// Guards against panics, and against an accepted request whose key is empty or whose
// deadline is not after its arrival.
func FuzzParseRequest(f *testing.F) {
	f.Add("POST", "desk:443", "key", "100")
	f.Fuzz(func(t *testing.T, method, host, key, timeout string) {
		r := httptest.NewRequest("POST", "http://desk/", nil)
		r.Method, r.Host = method, host
		r.Header[caller.IdempotencyKeyHeader] = []string{key}
		r.Header[caller.TimeoutHeader] = []string{timeout}
		p, err := caller.ParseRequest(r, arrival)
		if err == nil && (!p.Deadline.After(arrival) || p.Key == "") {
			t.Errorf("accepted method %q, key %q, timeout %q with deadline %v", method, key, timeout, p.Deadline)
		}
	})
}
