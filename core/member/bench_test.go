package member_test

import (
	"fmt"
	"net/netip"
	"testing"

	"carawaycart"
	"carawaycart/core/member"
	"carawaycart/internal/rendezvous"
)

// fleetSizes are numbers of instances.
var fleetSizes = []int{4, 16, 64, 240, 950, 1900}

// readyMembers returns n ready instances in eight zones.
func readyMembers(n int) []carawaycart.Member {
	all := make([]carawaycart.Member, n)
	for i := range all {
		all[i] = carawaycart.Member{
			ID:   carawaycart.InstanceID(fmt.Sprintf("region-zone-%d-lb%04d", i%8, i)),
			Zone: carawaycart.ZoneID(fmt.Sprintf("zone-%d", i%8)), State: carawaycart.MemberReady,
			PeerAddress: netip.MustParseAddrPort("127.0.0.1:1"),
		}
	}
	return all
}

func eachSize(b *testing.B, f func(b *testing.B, n int)) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			f(b, n)
		})
	}
}

func BenchmarkHolders(b *testing.B) {
	eachSize(b, func(b *testing.B, n int) {
		v := member.NewView(readyMembers(n), fullDuty)
		var k rendezvous.Key
		for b.Loop() {
			v.Holders(k)
			k++
		}
	})
}

func BenchmarkNewView(b *testing.B) {
	eachSize(b, func(b *testing.B, n int) {
		all := readyMembers(n)
		for b.Loop() {
			member.NewView(all, fullDuty)
		}
	})
}

func BenchmarkDigest(b *testing.B) {
	eachSize(b, func(b *testing.B, n int) {
		all := readyMembers(n)
		table := member.NewTable(all[0])
		for _, m := range all[1:] {
			table.Merge(m, start)
		}
		for b.Loop() {
			table.Digest()
		}
	})
}

func BenchmarkNeighbours(b *testing.B) {
	eachSize(b, func(b *testing.B, n int) {
		all := readyMembers(n)
		v := member.NewView(all, fullDuty)
		var dst []member.Peer
		for b.Loop() {
			dst = v.Neighbours(dst[:0], all[0].ID, all[0].Zone)
		}
	})
}
