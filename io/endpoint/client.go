package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/juju/errors"

	"carawaycart"
)

const (
	maxReportBytes = 64 << 10 // of a load report; the rest is not read
	dialTimeout    = time.Second
)

// NotRunHeader is the response header that an endpoint sets, to any value, if it did
// not run the request.
const NotRunHeader = "Not-Run"

// Client calls endpoints over HTTP. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a Client. It does not follow redirects, and leaves compressed
// responses as they are.
//
// Each request has a connection of its own. HTTP/1.1 matches answers to requests by
// their order alone, so an endpoint that repeats an answer would have the copy taken for
// the answer to the next request on the connection.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{&http.Client{
		Transport: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes the idle connections. Running requests continue.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Report fetches the load report of the endpoint at address. The error is NotValid
// if the report cannot be decoded or has a negative count.
func (c *Client) Report(ctx context.Context, address netip.AddrPort) (carawaycart.LoadReport, error) {
	var report carawaycart.LoadReport
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/load", nil)
	if err != nil {
		return report, errors.Annotatef(err, "create load report request for endpoint %s", address)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return report, errors.Annotatef(err, "fetch load report of endpoint %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return report, errors.Errorf("fetch load report of endpoint %s: HTTP status %d", address, response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return report, errors.Annotatef(err, "read load report of endpoint %s", address)
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return report, errors.NewNotValid(err, "load report of endpoint "+address.String())
	}
	if report.Flows < 0 || report.Requests < 0 {
		return report, errors.NotValidf("load report of endpoint %s: negative count", address)
	}
	return report, nil
}

// IsConnectionRefused reports whether err, an error of Report or Do, means that the
// endpoint refused the connection, so that no byte of the request can have reached
// it.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsDialError reports whether err, an error of Report or Do, occurred while dialing,
// so that no byte of the request can have reached the endpoint. Such errors include
// those for which IsConnectionRefused returns true.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Do sends request to the endpoint at address and returns the response, whose body
// the caller must close. It overwrites the scheme and the host of the request's URL.
func (c *Client) Do(request *http.Request, address netip.AddrPort) (*http.Response, error) {
	request.URL.Scheme = "http"
	request.URL.Host = address.String()
	response, err := c.http.Do(request)
	return response, errors.Annotatef(err, "request to endpoint %s", address)
}
