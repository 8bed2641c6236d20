package edge

import (
	"fmt"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"carawaycart"
	"carawaycart/core/directory"
	"carawaycart/io/peer"
	"carawaycart/message"
	"carawaycart/platform"
)

// slowDirectory answers the calls of peers after a delay.
type slowDirectory struct {
	peer.DirectoryHandler
	delay time.Duration
}

func (s slowDirectory) Directory(r *message.DirectoryRequest) (*message.DirectoryCopy, error) {
	time.Sleep(s.delay)
	return s.DirectoryHandler.Directory(r)
}

// An instance fetches a snapshot before it relays an update. Guards against relaying the
// age that the read had before, so that the read seems to have begun later than it did.
func TestRelayedUpdateIsAsOldAsItsRead(t *testing.T) {
	const delay, age, failureAge = 300 * time.Millisecond, 20, 40
	neighbor, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = neighbor.Close() })
	items := []carawaycart.StoreItem{{
		Key: "carawaycart/instances/neighbor", Revision: 11, Value: fmt.Appendf(nil, `{"zone":"a","peerAddress":%q}`, neighbor.LocalAddr()),
	}}
	sender, senderView := newTestDisseminator(t)
	relay, view := newTestDisseminator(t)
	view.ApplyRead(platform.RangeResult{Revision: 11, Items: items}, relay.clock.Now())
	senderView.ApplyRead(platform.RangeResult{Revision: 12, Items: items}, sender.clock.Now())
	update, err := proto.Marshal(&message.DirectoryNews{
		From: "sender", FromRevision: 11, ToRevision: 12, AgeMs: age, TroubleMs: failureAge, Relay: true, Partial: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	relay.receive(update, serveDirectory(t, slowDirectory{sender, delay}))
	if err := neighbor.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	buf := make([]byte, maxUpdateBytes)
	n, err := neighbor.Read(buf)
	if err != nil {
		t.Fatal(err)
	}
	got := &message.DirectoryNews{}
	if err := proto.Unmarshal(buf[:n], got); err != nil {
		t.Fatal(err)
	}
	if got.GetFrom() != "self" || got.GetToRevision() != 12 || view.State().Position != (directory.Position{Revision: 12}) {
		t.Fatalf("got %v, want the update relayed after the fetch", got)
	}
	waited := uint32(delay.Milliseconds())
	if got.GetAgeMs() < age+waited || got.GetTroubleMs() < failureAge+waited {
		t.Errorf("got a read %d ms and a failure %d ms ago, want at least %d and %d", got.GetAgeMs(), got.GetTroubleMs(), age+waited, failureAge+waited)
	}
}
