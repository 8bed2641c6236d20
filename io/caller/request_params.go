package caller

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"carawaycart"
)

// Headers of requests.
const (
	IdempotencyKeyHeader = "Idempotency-Key"
	TimeoutHeader        = "Request-Timeout-Ms" // time for which the caller waits, in milliseconds
	RequestIDHeader      = "Request-Id"         // forwarded to the endpoint; generated if absent
)

const (
	maxKeyBytes       = 255       // of an idempotency key
	maxTimeoutMillis  = 3_600_000 // one hour, for TimeoutHeader
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute // of a connection between requests
)

// RequestParams holds the parameters of a request that the balancer acts on.
type RequestParams struct {
	Service    carawaycart.ServiceID      // host name of the request, in lower case
	Key        carawaycart.IdempotencyKey // empty if the caller set none
	Idempotent bool                       // whether the HTTP method is idempotent (RFC 9110, section 9.2.2)
	Deadline   time.Time                  // zero if the caller set none
}

// ParseRequest parses the parameters of r, which arrived at now. It returns a NotValid
// error for an unsupported HTTP method, a malformed key and a malformed timeout.
func ParseRequest(r *http.Request, now time.Time) (RequestParams, error) {
	p := RequestParams{Service: carawaycart.ServiceID(strings.ToLower(hostName(r.Host)))}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		p.Idempotent = true
	case http.MethodPost, http.MethodPatch:
	default:
		return p, errors.NotValidf("method %q", r.Method)
	}
	key, err := singleHeader(r, IdempotencyKeyHeader)
	if err != nil {
		return p, err
	}
	if len(key) > maxKeyBytes || !isPrintableASCII(key) {
		return p, errors.NotValidf("%s of %d bytes (want at most %d printable ASCII)", IdempotencyKeyHeader, len(key), maxKeyBytes)
	}
	p.Key = carawaycart.IdempotencyKey(key)
	timeout, err := singleHeader(r, TimeoutHeader)
	if err != nil || timeout == "" {
		return p, err
	}
	ms, err := strconv.Atoi(timeout)
	if err != nil || ms <= 0 || ms > maxTimeoutMillis {
		return p, errors.NotValidf("%s %q (want 1 to %d)", TimeoutHeader, timeout, maxTimeoutMillis)
	}
	p.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	return p, nil
}

// hostName returns host without its port.
func hostName(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}

// singleHeader returns the value of header, or "" if it is absent. The error is
// NotValid if the header is repeated or empty.
func singleHeader(r *http.Request, header string) (string, error) {
	values := r.Header.Values(header)
	if len(values) > 1 {
		return "", errors.NotValidf("%d %s headers", len(values), header)
	}
	if len(values) == 1 && values[0] == "" {
		return "", errors.NotValidf("empty %s", header)
	}
	return r.Header.Get(header), nil
}

func isPrintableASCII(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110,
// section 7.6.1) and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeaders copies the headers of src to dst, except for the hop-by-hop headers
// and those that the Connection header of src lists.
func CopyHeaders(dst, src http.Header) {
	var listed []string // in the Connection header
	for _, v := range src.Values("Connection") {
		listed = append(listed, strings.Split(v, ",")...)
	}
	for k, v := range src {
		dst[k] = append([]string(nil), v...)
	}
	for _, k := range append(listed, hopByHopHeaders...) {
		dst.Del(strings.TrimSpace(k))
	}
}
