package edge

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/steer"
	"carawaycart/internal/eventlog"
	"carawaycart/platform"
)

// An instance that starts holds a first packet, which has to be refused with the first view.
// Guards against resetting the flow once a copy may have opened it through another instance.
func TestFirstPacketHeldForLongIsNotReset(t *testing.T) {
	for _, test := range []struct {
		held time.Duration
		want string // part of the line of the refused packet
	}{
		{50 * time.Millisecond, " packet=first copy=0 cause=noEndpoint outcome=reset "},
		{300 * time.Millisecond, " packet=first copy=0 cause=noEndpoint outcome=dropped "},
	} {
		clock := &manualClock{}
		clock.set(time.Unix(1000, 0))
		counters := NewCounters()
		var lines bytes.Buffer
		log := eventlog.New("self", &lines)
		r := steer.NewRouter("a", rand.NewPCG(1, 1), &observer{counters: counters, log: log})
		v := NewView("self", steer.ColdLimits{}, r, clock, nil)
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		backlog, stalls := &steer.Backlog{}, newStallDetector(clock.Now())
		newTranslator := func() *translator {
			return &translator{router: r, clock: clock, counters: counters, lastPacket: &atomic.Int64{}, backlog: backlog, stalls: stalls, log: log}
		}
		s := newBacklogSender(backlog, r, newTranslator(), conn, clock, log)
		if _, _, ok := newTranslator().Translate(heldFirstPacket()); ok {
			t.Fatal("got a packet translated without a view")
		}
		for range test.held / deadlineResolution {
			clock.set(clock.Now().Add(deadlineResolution))
			stalls.tick(clock.Now())
		}
		config := carawaycart.StoreItem{Key: "op/config", Value: []byte(testConfig), Revision: 1}
		v.ApplyRead(platform.RangeResult{Items: []carawaycart.StoreItem{config}, Revision: 1}, clock.Now())
		s.done.Wait()
		log.Close()
		if got := lines.String(); !strings.Contains(got, test.want) {
			t.Errorf("held for %s: got %q, want it to contain %q", test.held, got, test.want)
		}
	}
}

// heldFirstPacket returns the first transmission of a first packet to the route in
// testConfig, after room for an endpoint's number.
func heldFirstPacket() []byte {
	b := make([]byte, platform.EndpointNumberBytes+32)
	p := b[platform.EndpointNumberBytes:]
	p[14] = 128 // SYN
	copy(p[16:], []byte{198, 18, 0, 1})
	copy(p[20:], []byte{127, 0, 0, 1})
	binary.BigEndian.PutUint16(p[24:], 4000)
	binary.BigEndian.PutUint16(p[26:], 8443)
	return b
}
