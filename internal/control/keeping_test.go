package control

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/config"
	"carawaycart/core/flow"
	"carawaycart/core/limit"
	"carawaycart/internal/configtest"
)

var start = time.Unix(1000, 0)

// newKeeperBoard returns a board of the only instance, with two endpoints of one
// service, and its configuration.
func newKeeperBoard(t *testing.T) (*board.Board, *config.Configuration) {
	t.Helper()
	var bundle config.Bundle
	bundle.Zones = []carawaycart.Zone{{ID: "a"}, {ID: "b"}}
	bundle.Services = []carawaycart.Service{{ID: "desk", Address: netip.MustParseAddrPort("192.0.2.1:443"), Profile: "swift"}}
	for i, z := range []carawaycart.ZoneID{"a", "b"} {
		bundle.Endpoints = append(bundle.Endpoints, carawaycart.Endpoint{
			ID: carawaycart.EndpointID(fmt.Sprintf("e%d", i)), Service: "desk", Zone: z,
			FlowAddress: netip.MustParseAddrPort("127.0.0.1:1"), Flows: 10,
		})
	}
	c := configtest.Put(t, config.New(), carawaycart.KindBundle, "site", bundle)
	b := board.New("i1")
	b.SetConfig(c, start)
	b.SetMembers([]carawaycart.Member{{
		ID: "i1", Zone: "a", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"), State: carawaycart.MemberReady,
	}})
	return b, c
}

// Each case lost records in the demo before it was mended.
func TestRetention(t *testing.T) {
	record := &carawaycart.FlowRecord{Service: "desk", Fingerprint: 1, Endpoint: "e1"}
	for _, test := range []struct {
		name    string
		prepare func(*board.Board, *config.Configuration)
		hold    bool
		dropped bool
	}{
		{"keeper before it takes over", func(*board.Board, *config.Configuration) {}, true, false},
		{"keeper", func(b *board.Board, _ *config.Configuration) {
			for _, id := range []carawaycart.EndpointID{"e0", "e1"} {
				b.Entry(id).OpenGate(&limit.Gate{}, start)
			}
		}, false, false},
		{"while tables move", func(b *board.Board, c *config.Configuration) {
			for _, id := range []carawaycart.EndpointID{"e0", "e1"} {
				b.Entry(id).OpenGate(&limit.Gate{}, start)
			}
			e := c.Endpoints["e0"]
			e.Mark = carawaycart.MarkLeaving
			b.SetConfig(configtest.Put(t, c, carawaycart.KindEndpoint, "e0", e), start)
		}, true, false},
		{"zone of the owner taken out", func(b *board.Board, c *config.Configuration) {
			b.SetConfig(configtest.Put(t, c, carawaycart.KindZone, "b", carawaycart.Zone{ID: "b", Out: true}), start)
		}, false, true},
	} {
		b, c := newKeeperBoard(t)
		test.prepare(b, c)
		view := b.View()
		got := retention(view, currentOf(view, record), b.Members(), "i1", record)
		if got.Hold != test.hold || (got == flow.Retention{}) != test.dropped {
			t.Errorf("%s: got %+v, want hold %t, dropped %t", test.name, got, test.hold, test.dropped)
		}
	}
}

// The idle time of a record counts from when its slot came to the keeper.
func TestRetentionCountsFromTheTakeover(t *testing.T) {
	record := &carawaycart.FlowRecord{Service: "desk", Fingerprint: 1, Endpoint: "e1"}
	b, _ := newKeeperBoard(t)
	took := start.Add(time.Minute)
	for _, id := range []carawaycart.EndpointID{"e0", "e1"} {
		b.Entry(id).OpenGate(&limit.Gate{}, took)
	}
	view := b.View()
	if got := retention(view, currentOf(view, record), b.Members(), "i1", record); !got.Since.Equal(took) {
		t.Errorf("got idle time since %v, want since the takeover at %v", got.Since, took)
	}
}
