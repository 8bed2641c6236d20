package fabric_test

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/gopacket/gopacket/layers"
	"golang.org/x/net/ipv4"

	"carawaycart"
	"carawaycart/io/fabric"
)

const (
	benchBatch   = 32
	benchBuffer  = 2048
	benchSockets = 8 << 20 // bytes of a socket's buffer
	window       = 256     // datagrams on their way, few enough that none is lost
	lossTimeout  = time.Second
)

// sendOn is a Handler that sends every packet to one address.
type sendOn struct{ address netip.AddrPort }

func (s sendOn) Handle(*carawaycart.Packet) (netip.AddrPort, bool) { return s.address, true }
func (s sendOn) Fault(fabric.Fault)                                {}

func listen(b *testing.B) *net.UDPConn {
	b.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	_ = conn.SetReadBuffer(benchSockets)
	_ = conn.SetWriteBuffer(benchSockets)
	b.Cleanup(func() { _ = conn.Close() })
	return conn
}

func addressOf(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// bareRelay sends batches on without looking into them.
func bareRelay(conn *net.UDPConn, to *net.UDPAddr) {
	packets := ipv4.NewPacketConn(conn)
	in := make([]ipv4.Message, benchBatch)
	for i := range in {
		in[i].Buffers = [][]byte{make([]byte, benchBuffer)}
	}
	out := make([]ipv4.Message, benchBatch)
	for {
		n, err := packets.ReadBatch(in, 0)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		for i := range in[:n] {
			out[i] = ipv4.Message{Buffers: [][]byte{in[i].Buffers[0][:in[i].N]}, Addr: to}
		}
		if _, err := packets.WriteBatch(out[:n], 0); err != nil {
			return
		}
	}
}

// pump passes datagrams by way of relay to sink and counts those that arrive.
func pump(b *testing.B, relay netip.AddrPort, sink *net.UDPConn) {
	source := listen(b)
	datagram := tcpPacket(b, func(*layers.IPv4, *layers.TCP) {})
	messages := make([]ipv4.Message, benchBatch)
	for i := range messages {
		messages[i] = ipv4.Message{Buffers: [][]byte{datagram}, Addr: net.UDPAddrFromAddrPort(relay)}
	}
	arrived := make([]ipv4.Message, benchBatch)
	for i := range arrived {
		arrived[i].Buffers = [][]byte{make([]byte, benchBuffer)}
	}
	out, in := ipv4.NewPacketConn(source), ipv4.NewPacketConn(sink)
	sent, received := 0, 0
	b.ResetTimer()
	for received < b.N {
		for sent-received < window && sent < b.N+window {
			n, err := out.WriteBatch(messages, 0)
			if err != nil {
				b.Fatal(err)
			}
			sent += n
		}
		_ = sink.SetReadDeadline(time.Now().Add(lossTimeout))
		n, err := in.ReadBatch(arrived, 0)
		if err != nil {
			b.Fatalf("after %d of %d: %v", received, sent, err)
		}
		received += n
	}
	b.ReportMetric(float64(received)/b.Elapsed().Seconds(), "packets/s")
}

// BenchmarkForward compares a port with a bare batched relay, in the same run.
func BenchmarkForward(b *testing.B) {
	b.Run("bare", func(b *testing.B) {
		relay, sink := listen(b), listen(b)
		go bareRelay(relay, net.UDPAddrFromAddrPort(addressOf(sink)))
		pump(b, addressOf(relay), sink)
	})
	b.Run("port", func(b *testing.B) {
		relay, sink := listen(b), listen(b)
		p := fabric.NewPort(relay, false, sendOn{addressOf(sink)}, 1)
		b.Cleanup(func() { _ = p.Close() })
		pump(b, addressOf(relay), sink)
	})
}
