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

var startTime = time.Unix(1000, 0)

// newKeeperBoard returns the board of a fleet of one instance, and its
// configuration of one service with two endpoints in two zones.
func newKeeperBoard(t *testing.T) (*board.Board, *config.Configuration) {
	t.Helper()
	var bundle config.Bundle
	bundle.Zones = []carawaycart.Zone{{ID: "a"}, {ID: "b"}}
	bundle.Services = []carawaycart.Service{{ID: "desk", Address: netip.MustParseAddrPort("192.0.2.1:443"), Profile: "swift"}}
	for i, z := range []carawaycart.ZoneID{"a", "b"} {
		bundle.Endpoints = append(bundle.Endpoints, carawaycart.Endpoint{
			ID: carawaycart.EndpointID(fmt.Sprintf("e%d", i)), Service: "desk", Zone: z,
			FlowAddress: netip.MustParseAddrPort("127.0.0.1:1"), MaxFlows: 10,
		})
	}
	c := configtest.MustPut(t, config.New(), carawaycart.KindBundle, "site", bundle)
	b := board.New("i1")
	b.SetConfig(c, startTime)
	b.SetMembers([]carawaycart.Member{{
		ID: "i1", Zone: "a", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"), State: carawaycart.MemberReady,
	}})
	return b, c
}

// Guards against records that expire at an instance that does not receive all
// packets of their flows: a keeper before its takeover, or one while instances
// may follow different slot tables. Also guards against a record that is retained
// although the zone of its endpoint is out. The cases come from records that were
// lost in the demo.
func TestRetention(t *testing.T) {
	record := &carawaycart.FlowRecord{Service: "desk", Fingerprint: 1, Endpoint: "e1"}
	for _, test := range []struct {
		name    string
		prepare func(*board.Board, *config.Configuration)
		hold    bool
		dropped bool
	}{
		{"keeper before takeover", func(*board.Board, *config.Configuration) {}, true, false},
		{"keeper after takeover", func(b *board.Board, _ *config.Configuration) {
			for _, id := range []carawaycart.EndpointID{"e0", "e1"} {
				b.Entry(id).SetLimiter(&limit.Limiter{}, startTime)
			}
		}, false, false},
		{"more than one recent table", func(b *board.Board, c *config.Configuration) {
			for _, id := range []carawaycart.EndpointID{"e0", "e1"} {
				b.Entry(id).SetLimiter(&limit.Limiter{}, startTime)
			}
			e := c.Endpoints["e0"]
			e.Mark = carawaycart.MarkLeaving
			b.SetConfig(configtest.MustPut(t, c, carawaycart.KindEndpoint, "e0", e), startTime)
		}, true, false},
		{"zone of the recorded endpoint is out", func(b *board.Board, c *config.Configuration) {
			b.SetConfig(configtest.MustPut(t, c, carawaycart.KindZone, "b", carawaycart.Zone{ID: "b", Out: true}), startTime)
		}, false, true},
	} {
		b, c := newKeeperBoard(t)
		test.prepare(b, c)
		view := b.View()
		got := retention(view, currentEndpoint(view, record), b.Members(), "i1", record)
		if got.NoIdleTimeout != test.hold || (got == flow.Retention{}) != test.dropped {
			t.Errorf("%s: got %+v, want NoIdleTimeout %t, dropped %t", test.name, got, test.hold, test.dropped)
		}
	}
}

// Guards against records that expire because their idle time counts from before
// the takeover, when this keeper received none of their packets.
func TestRetentionCountsFromTakeover(t *testing.T) {
	record := &carawaycart.FlowRecord{Service: "desk", Fingerprint: 1, Endpoint: "e1"}
	b, _ := newKeeperBoard(t)
	takeover := startTime.Add(time.Minute)
	for _, id := range []carawaycart.EndpointID{"e0", "e1"} {
		b.Entry(id).SetLimiter(&limit.Limiter{}, takeover)
	}
	view := b.View()
	if got := retention(view, currentEndpoint(view, record), b.Members(), "i1", record); !got.IdleSince.Equal(takeover) {
		t.Errorf("got idle time since %v, want since the takeover at %v", got.IdleSince, takeover)
	}
}
