package demo

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"carawaycart"
	"carawaycart/internal/standin"
)

// firstPort is the first port that callers use.
const firstPort = 10000

// callerAddress returns the address of caller i of a service; network tells the
// services apart.
func callerAddress(network byte, i int) netip.AddrPort {
	const portsPerAddress = 50000
	a := netip.AddrFrom4([4]byte{198, 51, 100, network + byte(i/portsPerAddress)})
	return netip.AddrPortFrom(a, uint16(firstPort+i%portsPerAddress))
}

// startLoad starts feeds, uploads and orders, which run until ctx ends.
func (d *Demo) startLoad(ctx context.Context) {
	d.callers.Go(func() { d.feeds(ctx) })
	d.callers.Go(func() { d.uploads(ctx) })
	d.callers.Go(func() { d.orders(ctx) })
}

// feeds opens all feeds over rampPeriod; each goes on to the end.
func (d *Demo) feeds(ctx context.Context) {
	pause := rampPeriod / time.Duration(max(d.options.Feeds, 1))
	ticker := time.NewTicker(max(pause, time.Microsecond))
	defer ticker.Stop()
	for i := range d.options.Feeds {
		c := standin.NewFlowCaller(standin.FlowConfig{
			Caller: callerAddress(1, i), Service: d.options.Site.Main.Address,
			Interval: feedInterval, Deadline: time.Now().Add(time.Hour),
		}, d.fleet.Fabric, d.fleet.Ledger, d.fleet.ZoneOf)
		d.callers.Go(func() { d.keepOpen(ctx, c) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// keepOpen opens the feed again whenever it ends, as a workshop's screen would.
func (d *Demo) keepOpen(ctx context.Context, c *standin.FlowCaller) {
	for ctx.Err() == nil {
		c.Run(ctx)
	}
}

// uploads keeps a number of short flows to the intake service going.
func (d *Demo) uploads(ctx context.Context) {
	next := 0
	ticker := time.NewTicker(uploadLength / time.Duration(max(d.options.Uploads, 1)))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c := standin.NewFlowCaller(standin.FlowConfig{
			Caller: callerAddress(100, next), Service: d.options.Site.Intake.Address,
			Interval: uploadInterval, Deadline: time.Now().Add(uploadLength),
		}, d.fleet.Fabric, d.fleet.Ledger, d.fleet.ZoneOf)
		next++
		d.callers.Go(func() { c.Run(ctx) })
	}
}

// orders sends orders at a steady rate; those under way at the end are finished.
func (d *Demo) orders(ctx context.Context) {
	ticker := time.NewTicker(time.Second / time.Duration(max(d.options.Orders, 1)))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		key := carawaycart.IdempotencyKey(fmt.Sprintf("order-%d-%d", d.options.Seed, i))
		d.callers.Go(func() { d.fleet.Orders.Order(context.WithoutCancel(ctx), key) })
	}
}
