package flow_test

import (
	"fmt"
	"testing"

	"carawaycart"
	"carawaycart/core/flow"
)

func BenchmarkDecideClean(b *testing.B) {
	for _, instances := range []int{4, 16, 64, 240, 1900} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			f := newFixture(b, instances, 14)
			router := f.routers["i00"]
			p := packet(7, carawaycart.PacketMiddle)
			b.ReportAllocs()
			for b.Loop() {
				router.Decide(&p, start)
			}
		})
	}
}

func BenchmarkDecideCleanParallel(b *testing.B) {
	f := newFixture(b, 16, 14)
	router := f.routers["i00"]
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		p := packet(7, carawaycart.PacketMiddle)
		for pb.Next() {
			router.Decide(&p, start)
		}
	})
}

// BenchmarkDecideRecorded measures decisions by flow record: all endpoints are
// guarded, so no slot is clean.
func BenchmarkDecideRecorded(b *testing.B) {
	for _, records := range []int{1000, 35000, 300000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			f := newFixture(b, 1, 14)
			f.setStatus(carawaycart.EndpointOpen, true)
			for i := range records {
				p := packet(i, carawaycart.PacketMiddle)
				f.records["i00"].Merge(carawaycart.FlowRecord{Service: "desk", Fingerprint: p.Key.Fingerprint(), Endpoint: "e01"}, start)
			}
			router := f.routers["i00"]
			p := packet(7, carawaycart.PacketMiddle)
			b.ReportAllocs()
			for b.Loop() {
				router.Decide(&p, start)
			}
		})
	}
}

// BenchmarkRecordMemory measures the memory that one more flow record takes.
func BenchmarkRecordMemory(b *testing.B) {
	b.ReportAllocs()
	r := flow.NewRecords()
	i := 0
	for b.Loop() {
		r.Merge(carawaycart.FlowRecord{Service: "desk", Fingerprint: carawaycart.Fingerprint(i) << 7, Endpoint: "e01"}, start)
		i++
	}
}
