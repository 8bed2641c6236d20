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

// Client calls peers over one connection each; it is safe for concurrent use.
type Client struct {
	meter Meter
	mu    sync.Mutex
	conns map[netip.AddrPort]*rpc.Client
}

// NewClient returns a client without connections that counts bytes with meter.
func NewClient(meter Meter) *Client {
	return &Client{meter: meter, conns: make(map[netip.AddrPort]*rpc.Client)}
}

// Call calls method of the peer at address and fills reply. The deadline of ctx
// bounds the wait; the error names the method and the peer.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, method string, args, reply proto.Message) error {
	var err error
	for range 2 {
		err = c.call(ctx, address, method, args, reply)
		if !broken(err) {
			break
		}
		c.Drop(address)
	}
	return errors.Annotatef(err, "call %s of peer %s", method, address)
}

// broken reports whether err tells that the connection was no longer usable.
func broken(err error) bool {
	if err == nil || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return false
	}
	var remote rpc.ServerError
	var dial *net.OpError
	return !errors.As(err, &remote) && !errors.As(err, &dial)
}

func (c *Client) call(ctx context.Context, address netip.AddrPort, method string, args, reply proto.Message) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	// A call that times out may still be written into reply, so it gets its own.
	own := reply.ProtoReflect().New().Interface()
	call := conn.Go("Peer."+method, args, own, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil {
			return call.Error
		}
		proto.Merge(reply, own)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

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
	fresh := rpc.NewClientWithCodec(&clientCodec{newCodec(raw, c.meter)})
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		_ = fresh.Close()
		return conn, nil
	}
	c.conns[address] = fresh
	return fresh, nil
}

// Drop closes the connection to address.
func (c *Client) Drop(address netip.AddrPort) {
	c.mu.Lock()
	conn := c.conns[address]
	delete(c.conns, address)
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

// Retain closes the connections to all addresses that keep does not accept.
func (c *Client) Retain(keep func(netip.AddrPort) bool) {
	c.mu.Lock()
	var drop []netip.AddrPort
	for a := range c.conns {
		if !keep(a) {
			drop = append(drop, a)
		}
	}
	c.mu.Unlock()
	for _, a := range drop {
		c.Drop(a)
	}
}

// Close closes all connections.
func (c *Client) Close() {
	c.Retain(func(netip.AddrPort) bool { return false })
}
