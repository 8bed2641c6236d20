package peer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"carawaycart/io/peer"
	"carawaycart/message"
)

// fakeHandler is a Handler that answers Exchange after a delay and fails Finish.
type fakeHandler struct {
	peer.Handler
	delay time.Duration
	calls atomic.Int64 // calls of Exchange
}

func (h *fakeHandler) Exchange(x *message.Exchange) (*message.Exchange, error) {
	h.calls.Add(1)
	time.Sleep(h.delay)
	return &message.Exchange{From: x.GetFrom() + " heard"}, nil
}

func (h *fakeHandler) Finish(*message.Claim) error { return errors.New("no such claim") }

type discardMeter struct{}

func (discardMeter) CountSent(string, int) {}

func serve(t *testing.T, h peer.Handler) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := peer.NewServer(listener, h, discardMeter{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// A call must return the reply of the peer, and a failed one the peer's error with
// the method and the address.
func TestCall(t *testing.T) {
	address := serve(t, &fakeHandler{})
	client := peer.NewClient(discardMeter{})
	defer client.Close()
	reply := &message.Exchange{}
	if err := client.Call(context.Background(), address, "Exchange", &message.Exchange{From: "a"}, reply); err != nil {
		t.Fatal(err)
	}
	if reply.GetFrom() != "a heard" {
		t.Errorf("got reply %q, want \"a heard\"", reply.GetFrom())
	}
	err := client.Call(context.Background(), address, "Finish", &message.Claim{}, &message.Acknowledgement{})
	if err == nil || err.Error() != "call Finish of peer "+address.String()+": no such claim" {
		t.Errorf("got error %v, want the peer's error with the method and the address", err)
	}
}

// A call must return at its deadline. A reply that arrives later must not be written
// to the reply of that call or of the next one.
func TestCallReturnsAtDeadline(t *testing.T) {
	address := serve(t, &fakeHandler{delay: 200 * time.Millisecond})
	client := peer.NewClient(discardMeter{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	late := &message.Exchange{}
	if err := client.Call(ctx, address, "Exchange", &message.Exchange{From: "late"}, late); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v, want context.DeadlineExceeded", err)
	}
	reply := &message.Exchange{}
	if err := client.Call(context.Background(), address, "Exchange", &message.Exchange{From: "next"}, reply); err != nil {
		t.Fatal(err)
	}
	if late.GetFrom() != "" || reply.GetFrom() != "next heard" {
		t.Errorf("got replies %q and %q, want the late one discarded and \"next heard\"", late.GetFrom(), reply.GetFrom())
	}
}

// failingHandler is a Handler whose calls fail with a text, or panic.
type failingHandler struct {
	peer.Handler
	text string
}

func (h *failingHandler) Finish(*message.Claim) error { return errors.New(h.text) }

func (h *failingHandler) Exchange(*message.Exchange) (*message.Exchange, error) { panic("broken") }

// An error text may be cut within a character. Guards against a reply that cannot be
// encoded then, so that the caller waits for its timeout and loses the connection.
func TestLongErrorTextIsCutAtCharacter(t *testing.T) {
	address := serve(t, &failingHandler{text: strings.Repeat("x", 255) + "\u00e6rlig"})
	client := peer.NewClient(discardMeter{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err := client.Call(ctx, address, "Finish", &message.Claim{}, &message.Acknowledgement{})
	if err == nil || !strings.HasSuffix(err.Error(), strings.Repeat("x", 255)) {
		t.Errorf("got error %v, want the text without the character that was cut", err)
	}
}

// Guards against a call that ends the whole process because its handler panics.
func TestPanicOfHandlerIsAnError(t *testing.T) {
	address := serve(t, &failingHandler{})
	client := peer.NewClient(discardMeter{})
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	err := client.Call(ctx, address, "Exchange", &message.Exchange{}, &message.Exchange{})
	if err == nil || !strings.Contains(err.Error(), "broken") {
		t.Errorf("got error %v, want one that tells of the panic", err)
	}
}

// Guards against reading the body that was refused for its size as further calls: the
// connection has to be closed.
func TestOversizedBodyClosesConnection(t *testing.T) {
	h := &fakeHandler{}
	address := serve(t, h)
	conn, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	var call bytes.Buffer
	for n := range 2 {
		if _, err := protodelim.MarshalTo(&call, &message.CallHeader{Method: "Peer.Exchange", Sequence: uint64(n)}); err != nil {
			t.Fatal(err)
		}
		if n == 0 {
			call.Write(binary.AppendUvarint(nil, 1<<30)) // the length of a body that does not follow
			continue
		}
		if _, err := protodelim.MarshalTo(&call, &message.Exchange{From: "smuggled"}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := conn.Write(call.Bytes()); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.Copy(io.Discard, conn); err != nil {
		t.Errorf("got %v, want the connection closed", err)
	}
	if got := h.calls.Load(); got != 0 {
		t.Errorf("got %d calls run, want none", got)
	}
}

// Guards against a call that fails because the peer has reset an idle connection, as a
// peer does that has restarted at the same address.
func TestCallRetriesOnResetConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	conns := make(chan net.Conn, 8)
	s, err := peer.NewServer(&connListener{Listener: listener, conns: conns}, &fakeHandler{}, discardMeter{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	client := peer.NewClient(discardMeter{})
	defer client.Close()
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	for n := range 2 {
		if err := client.Call(t.Context(), address, "Exchange", &message.Exchange{From: "a"}, &message.Exchange{}); err != nil {
			t.Errorf("call %d: %v", n, err)
		}
		if n == 0 {
			conn := (<-conns).(*net.TCPConn)
			_ = conn.SetLinger(0) // closing resets the connection
			_ = conn.Close()
		}
	}
}

// connListener is a listener that sends each accepted connection to conns.
type connListener struct {
	net.Listener
	conns chan net.Conn
}

func (l *connListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		l.conns <- conn
	}
	return conn, err
}

// A call on a cached connection that the server has closed must be retried on a
// new connection.
func TestCallReconnects(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := &connListener{Listener: inner, conns: make(chan net.Conn, 2)}
	server, err := peer.NewServer(listener, &fakeHandler{}, discardMeter{})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	address := inner.Addr().(*net.TCPAddr).AddrPort()
	client := peer.NewClient(discardMeter{})
	defer client.Close()
	if err := client.Call(context.Background(), address, "Exchange", &message.Exchange{}, &message.Exchange{}); err != nil {
		t.Fatal(err)
	}
	_ = (<-listener.conns).Close()
	if err := client.Call(context.Background(), address, "Exchange", &message.Exchange{}, &message.Exchange{}); err != nil {
		t.Errorf("got error %v, want the call retried on a new connection", err)
	}
}

// Malformed input on one connection must neither stop the server nor reach the
// handler.
func TestServerSurvivesMalformedInput(t *testing.T) {
	handler := &fakeHandler{}
	address := serve(t, handler)
	// A length beyond the maximum, a request of another protocol, a truncated header.
	for _, input := range [][]byte{{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f}, []byte("GET / HTTP/1.1\r\n\r\n"), {3, 1, 2}} {
		conn, err := net.Dial("tcp", address.String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(input)
		_ = conn.Close()
	}
	client := peer.NewClient(discardMeter{})
	defer client.Close()
	if err := client.Call(context.Background(), address, "Exchange", &message.Exchange{}, &message.Exchange{}); err != nil {
		t.Errorf("got error %v, want an answer after malformed input", err)
	}
	if n := handler.calls.Load(); n != 1 {
		t.Errorf("got %d calls, want 1, since malformed input is not a call", n)
	}
}

// directoryHandler is a DirectoryHandler that answers with a fixed reply.
type directoryHandler struct{ reply *message.DirectoryCopy }

func (h directoryHandler) Directory(*message.DirectoryRequest) (*message.DirectoryCopy, error) {
	return h.reply, nil
}

// Guards against a field of a snapshot, such as the era of the store, that the server leaves
// out of its replies.
func TestDirectoryReplyIsWhole(t *testing.T) {
	want := &message.DirectoryCopy{}
	fields := want.ProtoReflect().Descriptor().Fields()
	for n := range fields.Len() {
		switch f := fields.Get(n); f.Kind() {
		case protoreflect.Uint64Kind:
			want.ProtoReflect().Set(f, protoreflect.ValueOfUint64(uint64(n+1)))
		case protoreflect.Uint32Kind:
			want.ProtoReflect().Set(f, protoreflect.ValueOfUint32(uint32(n+1)))
		case protoreflect.BytesKind:
			want.ProtoReflect().Set(f, protoreflect.ValueOfBytes([]byte{byte(n + 1)}))
		default:
			t.Fatalf("no value for field %s", f.FullName())
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s, err := peer.NewDirectoryServer(listener, directoryHandler{want}, discardMeter{})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	client := peer.NewClient(discardMeter{})
	defer client.Close()
	got := &message.DirectoryCopy{}
	if err := client.Call(t.Context(), listener.Addr().(*net.TCPAddr).AddrPort(), "Directory", &message.DirectoryRequest{}, got); err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(got, want) {
		t.Errorf("got reply %v, want %v", got, want)
	}
}
