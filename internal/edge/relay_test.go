package edge

import (
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
	neighbor, item := newNeighbor(t, "neighbor", "a")
	items := []carawaycart.StoreItem{item}
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
	got := receiveUpdate(t, neighbor)
	if got.GetFrom() != "self" || got.GetToRevision() != 12 || view.State().Position != (directory.Position{Revision: 12}) {
		t.Fatalf("got %v, want the update relayed after the fetch", got)
	}
	waited := uint32(delay.Milliseconds())
	if got.GetAgeMs() < age+waited || got.GetTroubleMs() < failureAge+waited {
		t.Errorf("got a read %d ms and a failure %d ms ago, want at least %d and %d", got.GetAgeMs(), got.GetTroubleMs(), age+waited, failureAge+waited)
	}
}
