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
	maxReport   = 64 << 10
	dialTimeout = time.Second
	idlePerHost = 8
)

// NotRunHeader is the header by which an endpoint states that it did not run a
// request.
const NotRunHeader = "Not-Run"

// Client calls endpoints over HTTP; it is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a client without open connections.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{&http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idlePerHost,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Report returns the load report of the endpoint at address.
func (c *Client) Report(ctx context.Context, address netip.AddrPort) (carawaycart.Report, error) {
	var report carawaycart.Report
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/load", nil)
	if err != nil {
		return report, errors.Annotatef(err, "report of endpoint %s", address)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return report, errors.Annotatef(err, "report of endpoint %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return report, errors.Errorf("report of endpoint %s: status %d", address, response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReport))
	if err != nil {
		return report, errors.Annotatef(err, "report of endpoint %s", address)
	}
	if err := json.Unmarshal(data, &report); err != nil {
		return report, errors.NewNotValid(err, "report of endpoint "+address.String())
	}
	if report.Flows < 0 || report.Requests < 0 {
		return report, errors.NotValidf("report of endpoint %s: negative count", address)
	}
	return report, nil
}

// Refused reports whether err tells that nothing listened at the address, so
// that no byte of a request can have arrived.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Unreached reports whether err arose before a connection existed, so that no
// byte of a request can have arrived.
func Unreached(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Do sends request to the endpoint at address.
func (c *Client) Do(request *http.Request, address netip.AddrPort) (*http.Response, error) {
	request.URL.Scheme = "http"
	request.URL.Host = address.String()
	response, err := c.http.Do(request)
	return response, errors.Annotatef(err, "request to endpoint %s", address)
}
