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
	benchBatchSize    = 32
	benchBufferBytes  = 2048
	socketBufferBytes = 8 << 20
	maxInFlight       = 256         // datagrams in flight, few enough that none is dropped
	lossTimeout       = time.Second // time without an arrival after which the benchmark fails
)

// staticHandler is a Handler that forwards every packet to one address.
type staticHandler struct{ address netip.AddrPort }

func (s staticHandler) Route(*carawaycart.Packet) (netip.AddrPort, bool) { return s.address, true }
func (s staticHandler) CountFault(fabric.Fault)                          {}

func listen(b *testing.B) *net.UDPConn {
	b.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		b.Fatal(err)
	}
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	b.Cleanup(func() { _ = conn.Close() })
	return conn
}

func localAddr(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

// relayUndecoded forwards datagrams to one address in batches without decoding
// them, until conn is closed.
func relayUndecoded(conn *net.UDPConn, to *net.UDPAddr) {
	packets := ipv4.NewPacketConn(conn)
	in := make([]ipv4.Message, benchBatchSize)
	for i := range in {
		in[i].Buffers = [][]byte{make([]byte, benchBufferBytes)}
	}
	out := make([]ipv4.Message, benchBatchSize)
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

// measureThroughput sends datagrams through relay to sink until b.N have arrived
// and reports the throughput.
func measureThroughput(b *testing.B, relay netip.AddrPort, sink *net.UDPConn) {
	source := listen(b)
	datagram := tcpPacket(b, func(*layers.IPv4, *layers.TCP) {})
	messages := make([]ipv4.Message, benchBatchSize)
	for i := range messages {
		messages[i] = ipv4.Message{Buffers: [][]byte{datagram}, Addr: net.UDPAddrFromAddrPort(relay)}
	}
	arrived := make([]ipv4.Message, benchBatchSize)
	for i := range arrived {
		arrived[i].Buffers = [][]byte{make([]byte, benchBufferBytes)}
	}
	out, in := ipv4.NewPacketConn(source), ipv4.NewPacketConn(sink)
	sent, received := 0, 0
	b.ResetTimer()
	for received < b.N {
		for sent-received < maxInFlight && sent < b.N+maxInFlight {
			n, err := out.WriteBatch(messages, 0)
			if err != nil {
				b.Fatal(err)
			}
			sent += n
		}
		_ = sink.SetReadDeadline(time.Now().Add(lossTimeout))
		n, err := in.ReadBatch(arrived, 0)
		if err != nil {
			b.Fatalf("received %d of %d datagrams: %v", received, sent, err)
		}
		received += n
	}
	b.ReportMetric(float64(received)/b.Elapsed().Seconds(), "packets/s")
}

// BenchmarkForward measures the throughput of a Port, and of a batched relay that
// does not decode datagrams as the upper limit.
func BenchmarkForward(b *testing.B) {
	b.Run("undecoded", func(b *testing.B) {
		relay, sink := listen(b), listen(b)
		go relayUndecoded(relay, net.UDPAddrFromAddrPort(localAddr(sink)))
		measureThroughput(b, localAddr(relay), sink)
	})
	b.Run("port", func(b *testing.B) {
		relay, sink := listen(b), listen(b)
		p := fabric.NewPort(relay, false, staticHandler{localAddr(sink)}, 1)
		b.Cleanup(func() { _ = p.Close() })
		measureThroughput(b, localAddr(relay), sink)
	})
}
