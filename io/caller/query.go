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
	KeyHeader     = "Idempotency-Key"
	TimeoutHeader = "Request-Timeout-Ms" // milliseconds that the caller will wait
	RequestHeader = "Request-Id"
)

const (
	maxKey     = 255             // bytes
	maxTimeout = 3_600_000       // milliseconds
	maxHeaders = 64 << 10        // bytes
	readLimit  = 5 * time.Second // to read a request's headers
	idleLimit  = time.Minute     // between requests of one connection
)

// Query is what a request asks of the balancer.
type Query struct {
	Service    carawaycart.ServiceID
	Key        carawaycart.IdempotencyKey // empty if the caller gave none
	Idempotent bool                       // by its method
	Deadline   time.Time                  // zero if the caller gave none
}

// ReadQuery reads the query of r, which arrived at now; the error is NotValid.
func ReadQuery(r *http.Request, now time.Time) (Query, error) {
	q := Query{Service: carawaycart.ServiceID(strings.ToLower(hostName(r.Host)))}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		q.Idempotent = true
	case http.MethodPost, http.MethodPatch:
	default:
		return q, errors.NotValidf("method %q", r.Method)
	}
	key, err := single(r, KeyHeader)
	if err != nil {
		return q, err
	}
	if len(key) > maxKey || !printable(key) {
		return q, errors.NotValidf("%s of %d bytes (want at most %d printable ASCII)", KeyHeader, len(key), maxKey)
	}
	q.Key = carawaycart.IdempotencyKey(key)
	timeout, err := single(r, TimeoutHeader)
	if err != nil || timeout == "" {
		return q, err
	}
	ms, err := strconv.Atoi(timeout)
	if err != nil || ms <= 0 || ms > maxTimeout {
		return q, errors.NotValidf("%s %q (want 1 to %d)", TimeoutHeader, timeout, maxTimeout)
	}
	q.Deadline = now.Add(time.Duration(ms) * time.Millisecond)
	return q, nil
}

func hostName(host string) string {
	name, _, _ := strings.Cut(host, ":")
	return name
}

func single(r *http.Request, header string) (string, error) {
	values := r.Header.Values(header)
	if len(values) > 1 {
		return "", errors.NotValidf("%d %s headers", len(values), header)
	}
	if len(values) == 1 && values[0] == "" {
		return "", errors.NotValidf("empty %s", header)
	}
	return r.Header.Get(header), nil
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// CopyHeaders copies to dst the headers of src that are passed on.
func CopyHeaders(dst, src http.Header) {
	var listed []string
	for _, v := range src.Values("Connection") {
		listed = append(listed, strings.Split(v, ",")...)
	}
	for k, v := range src {
		dst[k] = append([]string(nil), v...)
	}
	for _, k := range append(listed, hopHeaders...) {
		dst.Del(strings.TrimSpace(k))
	}
}
