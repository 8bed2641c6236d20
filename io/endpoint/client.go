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
	maxReportBytes          = 64 << 10
	dialTimeout             = time.Second
	maxIdleConnsPerEndpoint = 8
)

// NotRunHeader is the response header that an endpoint sets if it did not run the
// request.
const NotRunHeader = "Not-Run"

// Client calls endpoints over HTTP. It is safe for concurrent use.
type Client struct{ http *http.Client }

// NewClient returns a Client that does not follow redirects.
func NewClient() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{&http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConnsPerEndpoint,
			IdleConnTimeout:     time.Minute,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Report returns the load report of the endpoint at address. The error is
// NotValid if the report cannot be decoded or has a negative count.
func (c *Client) Report(ctx context.Context, address netip.AddrPort) (carawaycart.Report, error) {
	var report carawaycart.Report
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

// Refused reports whether err means that the connection was refused, so that no
// byte of a request can have reached the endpoint.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// Unreached reports whether err occurred while dialing, so that no byte of a
// request can have reached the endpoint.
func Unreached(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Do sends request to the endpoint at address. It sets scheme and host of the
// request's URL.
func (c *Client) Do(request *http.Request, address netip.AddrPort) (*http.Response, error) {
	request.URL.Scheme = "http"
	request.URL.Host = address.String()
	response, err := c.http.Do(request)
	return response, errors.Annotatef(err, "request to endpoint %s", address)
}
