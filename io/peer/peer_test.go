package peer_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"carawaycart/io/peer"
	"carawaycart/message"
)

// echo is a Handler that answers some calls and fails or delays others.
type echo struct {
	peer.Handler
	delay time.Duration
	calls atomic.Int64
}

func (e *echo) Exchange(x *message.Exchange) (*message.Exchange, error) {
	e.calls.Add(1)
	time.Sleep(e.delay)
	return &message.Exchange{From: x.GetFrom() + " heard"}, nil
}

func (e *echo) Finish(*message.Claim) error { return errors.New("no such claim") }

type noMeter struct{}

func (noMeter) Sent(string, int) {}

func serve(t *testing.T, h peer.Handler) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := peer.NewServer(listener, h, noMeter{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

func TestCall(t *testing.T) {
	address := serve(t, &echo{})
	client := peer.NewClient(noMeter{})
	defer client.Close()
	reply := &message.Exchange{}
	if err := client.Call(context.Background(), address, "Exchange", &message.Exchange{From: "a"}, reply); err != nil {
		t.Fatal(err)
	}
	if reply.GetFrom() != "a heard" {
		t.Errorf("got %q, want the answer to this call", reply.GetFrom())
	}
	err := client.Call(context.Background(), address, "Finish", &message.Claim{}, &message.Acknowledgement{})
	if err == nil || err.Error() != "call Finish of peer "+address.String()+": no such claim" {
		t.Errorf("got error %v, want the peer's with call and peer", err)
	}
}

func TestCallEndsAtItsDeadline(t *testing.T) {
	address := serve(t, &echo{delay: 200 * time.Millisecond})
	client := peer.NewClient(noMeter{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	late := &message.Exchange{}
	if err := client.Call(ctx, address, "Exchange", &message.Exchange{From: "late"}, late); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v, want the deadline", err)
	}
	reply := &message.Exchange{}
	if err := client.Call(context.Background(), address, "Exchange", &message.Exchange{From: "next"}, reply); err != nil {
		t.Fatal(err)
	}
	if late.GetFrom() != "" || reply.GetFrom() != "next heard" {
		t.Errorf("got %q and %q, want a late answer dropped and the next one its own", late.GetFrom(), reply.GetFrom())
	}
}

// tracker is a listener that hands out the connections that it accepts.
type tracker struct {
	net.Listener
	conns chan net.Conn
}

func (l *tracker) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.conns <- conn
	}
	return conn, err
}

func TestCallAfterTheConnectionBroke(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &tracker{Listener: inner, conns: make(chan net.Conn, 2)}
	server, err := peer.NewServer(listener, &echo{}, noMeter{})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	address := inner.Addr().(*net.TCPAddr).AddrPort()
	client := peer.NewClient(noMeter{})
	defer client.Close()
	if err := client.Call(context.Background(), address, "Exchange", &message.Exchange{}, &message.Exchange{}); err != nil {
		t.Fatal(err)
	}
	_ = (<-listener.conns).Close()
	if err := client.Call(context.Background(), address, "Exchange", &message.Exchange{}, &message.Exchange{}); err != nil {
		t.Errorf("got %v, want the call made on a new connection", err)
	}
}

func TestServerOutlivesGarbage(t *testing.T) {
	handler := &echo{}
	address := serve(t, handler)
	for _, garbage := range [][]byte{{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, []byte("GET / HTTP/1.1\r\n\r\n"), {3, 1, 2}} {
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(garbage)
		_ = conn.Close()
	}
	client := peer.NewClient(noMeter{})
	defer client.Close()
	if err := client.Call(context.Background(), address, "Exchange", &message.Exchange{}, &message.Exchange{}); err != nil {
		t.Errorf("got %v, want the server to answer", err)
	}
	if n := handler.calls.Load(); n != 1 {
		t.Errorf("got %d calls, want garbage to be none", n)
	}
}
