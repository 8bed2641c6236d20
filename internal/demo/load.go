package demo

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"carawaycart"
	"carawaycart/internal/standin"
)

// firstCallerPort is the lowest source port of callers.
const firstCallerPort = 10000

// callerAddress returns the address of the caller with zero-based index i of a
// service. The addresses of its callers begin at 198.51.100.lastOctet, which differs
// between services.
func callerAddress(lastOctet byte, i int) netip.AddrPort {
	const portsPerAddress = 50000 // with firstCallerPort, the ports remain below 65536
	a := netip.AddrFrom4([4]byte{198, 51, 100, lastOctet + byte(i/portsPerAddress)})
	return netip.AddrPortFrom(a, uint16(firstCallerPort+i%portsPerAddress))
}

// startLoad starts feeds, uploads and keyed requests, which run until ctx ends.
func (d *Demo) startLoad(ctx context.Context) {
	d.callers.Go(func() { d.runFeeds(ctx) })
	d.callers.Go(func() { d.runUploads(ctx) })
	d.callers.Go(func() { d.runRequests(ctx) })
}

// runFeeds opens the feeds evenly over rampPeriod. Each runs until ctx ends.
func (d *Demo) runFeeds(ctx context.Context) {
	pause := rampPeriod / time.Duration(max(d.options.Feeds, 1))
	ticker := time.NewTicker(max(pause, time.Microsecond))
	defer ticker.Stop()
	for i := range d.options.Feeds {
		c := standin.NewFlowCaller(standin.FlowConfig{
			Caller: callerAddress(1, i), Service: d.options.Site.Main.Address,
			Interval: feedInterval, Deadline: time.Now().Add(time.Hour),
		}, d.fleet.Fabric, d.fleet.Ledger, d.fleet.ZoneOf)
		d.callers.Go(func() { d.runFeed(ctx, c) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runFeed reopens a feed whenever it ends, as an unattended client does.
func (d *Demo) runFeed(ctx context.Context, c *standin.FlowCaller) {
	for ctx.Err() == nil {
		c.Run(ctx)
	}
}

// runUploads opens flows to the intake service at a steady rate that maintains
// the configured number of concurrent uploads.
func (d *Demo) runUploads(ctx context.Context) {
	next := 0
	ticker := time.NewTicker(uploadDuration / time.Duration(max(d.options.Uploads, 1)))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c := standin.NewFlowCaller(standin.FlowConfig{
			Caller: callerAddress(100, next), Service: d.options.Site.Intake.Address,
			Interval: uploadInterval, Deadline: time.Now().Add(uploadDuration),
		}, d.fleet.Fabric, d.fleet.Ledger, d.fleet.ZoneOf)
		next++
		d.callers.Go(func() { c.Run(ctx) })
	}
}

// runRequests sends keyed requests at a steady rate until ctx ends. Requests in
// progress at that time are completed.
func (d *Demo) runRequests(ctx context.Context) {
	ticker := time.NewTicker(time.Second / time.Duration(max(d.options.Requests, 1)))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		key := carawaycart.IdempotencyKey(fmt.Sprintf("order-%d-%d", d.options.Seed, i))
		d.callers.Go(func() { d.fleet.Requests.Send(context.WithoutCancel(ctx), key) })
	}
}
