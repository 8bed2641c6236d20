package demo

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/internal/admin"
	"carawaycart/internal/standin"
	"carawaycart/io/platform"
)

const (
	benchTimeout = time.Minute      // limit of the start of a fleet and of a series of changes
	benchPeriod  = 10 * time.Second // time over which BenchmarkIdle measures
)

// newBenchFleet returns a ready fleet of n instances in four zones, and an Admin.
// The configuration has one object per zone and no endpoints.
func newBenchFleet(b *testing.B, n int) (*Fleet, *admin.Admin) {
	b.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	f, err := NewFleet("desk", 1)
	if err != nil {
		b.Fatal(err)
	}
	clock := carawaycart.NewSystemClock()
	a := admin.NewAdmin(platform.NewChangeLog(platform.NewStore(f.Store.URL(), nil), clock), "bench", clock)
	zones := standin.Sites()[0].Zones
	for _, z := range zones {
		if _, err := a.Put(ctx, carawaycart.KindZone, string(z), carawaycart.Zone{ID: z}); err != nil {
			b.Fatal(err)
		}
	}
	for i := range n {
		z := zones[i%len(zones)]
		if err := f.AddInstance(standin.InstanceName(z, i/len(zones)), z); err != nil {
			b.Fatal(err)
		}
	}
	if err := f.AwaitReady(ctx, carawaycart.Revision(len(zones))); err != nil {
		b.Fatal(err)
	}
	time.Sleep(3 * time.Second) // until the updates sent at the start have been exchanged
	return f, a
}

// controlBytesTotal returns the control bytes that all instances have sent.
func (f *Fleet) controlBytesTotal() int64 {
	var sum int64
	for _, b := range f.Instances() {
		sum += b.Counters.ControlBytes.Count()
	}
	return sum
}

// cpuTime returns the user and system CPU time of the process, or 0 on an error.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkIdle reports the control bytes and CPU time of an instance in a fleet
// without load or changes.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{4, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for b.Loop() {
				f, _ := newBenchFleet(b, n)
				bytesBefore, cpuBefore := f.controlBytesTotal(), cpuTime()
				time.Sleep(benchPeriod)
				instanceSeconds := float64(n) * benchPeriod.Seconds()
				b.ReportMetric(float64(f.controlBytesTotal()-bytesBefore)/instanceSeconds, "bytes/s/instance")
				b.ReportMetric(100*(cpuTime()-cpuBefore).Seconds()/instanceSeconds, "%core/instance")
				f.Close()
			}
		})
	}
}

// BenchmarkChangePropagation reports the control bytes per instance of a
// configuration change and the time until all instances have applied it.
func BenchmarkChangePropagation(b *testing.B) {
	const changes = 20
	for _, n := range []int{4, 8, 16, 32, 64} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for b.Loop() {
				f, a := newBenchFleet(b, n)
				ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
				bytesBefore := f.controlBytesTotal()
				begin := time.Now()
				var longest time.Duration
				for range changes {
					c, err := a.SetZoneOut(ctx, "stord", false)
					if err != nil {
						b.Fatal(err)
					}
					accepted := time.Now()
					if err := f.AwaitRevision(ctx, c.Revision); err != nil {
						b.Fatal(err)
					}
					longest = max(longest, time.Since(accepted))
				}
				elapsed := time.Since(begin).Seconds()
				b.ReportMetric(float64(f.controlBytesTotal()-bytesBefore)/float64(n*changes), "bytes/change/instance")
				b.ReportMetric(elapsed/changes, "s/change")
				b.ReportMetric(longest.Seconds(), "s-in-force-max")
				cancel()
				f.Close()
			}
		})
	}
}
