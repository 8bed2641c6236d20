package peer

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

const dialTimeout = 500 * time.Millisecond

// Client calls peers over one connection per peer. It is safe for concurrent use.
type Client struct {
	meter Meter
	mu    sync.Mutex
	conns map[netip.AddrPort]*rpc.Client
}

// NewClient returns a Client that counts the bytes sent with meter. Connections
// are opened on demand.
func NewClient(meter Meter) *Client {
	return &Client{meter: meter, conns: make(map[netip.AddrPort]*rpc.Client)}
}

// Call calls method of the peer at address and merges the result into reply. If an
// existing connection fails, Call retries once on a new connection. It returns when
// ctx is done at the latest. The error names the method and the peer.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, method string, args, reply proto.Message) error {
	var err error
	for range 2 {
		err = c.call(ctx, address, method, args, reply)
		if !isConnectionFailure(err) {
			break
		}
		c.Disconnect(address)
	}
	return errors.Annotatef(err, "call %s of peer %s", method, address)
}

// isConnectionFailure reports whether err means that a call failed because its
// connection was closed, reset or corrupted. It returns false for nil, for the end of the
// context, for an error that the peer returned, and for a failed dial.
func isConnectionFailure(err error) bool {
	if err == nil || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return false
	}
	var peerErr rpc.ServerError
	var opErr *net.OpError
	dialFailed := errors.As(err, &opErr) && opErr.Op == "dial"
	return !errors.As(err, &peerErr) && !dialFailed
}

func (c *Client) call(ctx context.Context, address netip.AddrPort, method string, args, reply proto.Message) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	// net/rpc may decode a late response after ctx is done, so the call must not
	// write to reply directly.
	result := reply.ProtoReflect().New().Interface()
	call := conn.Go("Peer."+method, args, result, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			return call.Error
		}
		proto.Merge(reply, result)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// conn returns the connection to address and opens one if there is none.
func (c *Client) conn(ctx context.Context, address netip.AddrPort) (*rpc.Client, error) {
	c.mu.Lock()
	conn := c.conns[address]
	c.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	client := rpc.NewClientWithCodec(&clientCodec{newCodec(raw, c.meter)})
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		_ = client.Close()
		return conn, nil
	}
	c.conns[address] = client
	return client, nil
}

// Disconnect closes the connection to address, if there is one.
func (c *Client) Disconnect(address netip.AddrPort) {
	c.mu.Lock()
	conn := c.conns[address]
	delete(c.conns, address)
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// Retain closes the connections to all addresses for which keep returns false.
func (c *Client) Retain(keep func(netip.AddrPort) bool) {
	c.mu.Lock()
	var closing []netip.AddrPort
	for a := range c.conns {
		if !keep(a) {
			closing = append(closing, a)
		}
	}
	c.mu.Unlock()
	for _, a := range closing {
		c.Disconnect(a)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.Retain(func(netip.AddrPort) bool { return false })
}
