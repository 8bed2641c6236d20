package demo

import (
	"context"
	"time"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/internal/balancer"
	"carawaycart/internal/standin"
)

// script drives the fleet through planned changes and failures.
func (d *Demo) script(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.steady, d.drain, d.killAndAdd, d.turnCold, d.zoneOut, d.storeOutage, d.zoneBack, d.plannedStop,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return pause(ctx, 2*time.Second)
}

func pause(ctx context.Context, p time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(p):
		return nil
	}
}

func (d *Demo) steady(ctx context.Context) error {
	if err := pause(ctx, rampPeriod+2*time.Second); err != nil {
		return err
	}
	total, most, hosts := 0, 0, 0
	for id, h := range d.fleet.Hosts() {
		if h.Endpoint().Service != d.options.Site.Main.ID {
			continue
		}
		n := d.fleet.Hosts()[id].Flows()
		total += n
		most = max(most, n)
		hosts++
	}
	if total > 0 {
		d.report.ImbalanceMaxOverMean = float64(most) * float64(hosts) / float64(total)
	}
	d.say("%d feeds established on %d hosts, imbalance %.3f", total, hosts, d.report.ImbalanceMaxOverMean)
	return nil
}

func (d *Demo) host(i int) carawaycart.EndpointID { return standin.HostName(d.options.Site.Main.ID, i) }

// pick returns a number below n.
func (d *Demo) pick(n int) int { return d.random.IntN(n) }

func (d *Demo) drain(ctx context.Context) error {
	id := d.host(d.pick(4))
	err := d.change(ctx, "endpoint "+string(id)+" is leaving", func() (carawaycart.Change, error) {
		d.fleet.Ledger.SetMark(string(id), graceEnd())
		return d.admin.Leave(ctx, id)
	})
	if err != nil {
		return err
	}
	return pause(ctx, 2*time.Second)
}

func (d *Demo) killAndAdd(ctx context.Context) error {
	zones := d.options.Site.Zones
	z := zones[d.pick(len(zones))]
	dead := standin.InstanceName(z, d.pick(d.options.Site.Instances/len(zones)))
	d.say("instance %s dies", dead)
	d.fleet.Kill(dead)
	if err := pause(ctx, 2*time.Second); err != nil {
		return err
	}
	fresh := standin.InstanceName(z, d.options.Site.Instances/len(zones))
	if err := d.addInstance(fresh, z); err != nil {
		return err
	}
	d.fleet.Open(fresh)
	d.say("instance %s joins", fresh)
	return pause(ctx, 2*time.Second)
}

func (d *Demo) turnCold(ctx context.Context) error {
	id := d.host(4 + d.pick(4))
	d.fleet.Hosts()[id].TurnCold(coldPeriod)
	d.say("endpoint %s turns cold without warning", id)
	return pause(ctx, 2*time.Second)
}

func (d *Demo) zone() carawaycart.ZoneID { return d.options.Site.Zones[len(d.options.Site.Zones)-1] }

func (d *Demo) zoneOut(ctx context.Context) error {
	z := d.zone()
	err := d.change(ctx, "zone "+string(z)+" is taken out", func() (carawaycart.Change, error) {
		d.fleet.Ledger.SetMark(string(z), graceEnd())
		return d.admin.SetZone(ctx, z, true)
	})
	if err != nil {
		return err
	}
	return pause(ctx, 4*time.Second)
}

// storeOutage stops the store while an instance dies, and tries a change that
// must be refused plainly.
func (d *Demo) storeOutage(ctx context.Context) error {
	d.fleet.Store.SetDown(true)
	d.say("the store stops")
	_, err := d.admin.SetZone(ctx, d.zone(), false)
	if err == nil {
		return errors.New("a change was accepted while the store was down")
	}
	zones := d.options.Site.Zones
	dead := standin.InstanceName(zones[d.pick(2)], 0)
	if _, ok := d.fleet.Instances()[dead]; ok {
		d.say("instance %s dies during the outage", dead)
		d.fleet.Kill(dead)
	}
	if err := pause(ctx, 3*time.Second); err != nil {
		return err
	}
	d.fleet.Store.SetDown(false)
	d.say("the store is back")
	return nil
}

func (d *Demo) zoneBack(ctx context.Context) error {
	z := d.zone()
	err := d.change(ctx, "zone "+string(z)+" is brought back", func() (carawaycart.Change, error) {
		c, err := d.admin.SetZone(ctx, z, false)
		if err == nil {
			d.fleet.Ledger.SetMark(string(z), time.Time{})
		}
		return c, err
	})
	if err != nil {
		return err
	}
	return pause(ctx, time.Second)
}

func (d *Demo) plannedStop(ctx context.Context) error {
	z := d.options.Site.Zones[2]
	for id := range d.fleet.Instances() {
		if id != standin.InstanceName(z, 1) {
			continue
		}
		d.say("instance %s is stopped as planned", id)
		stop, cancel := context.WithTimeout(ctx, balancer.StopLimit)
		defer cancel()
		return d.fleet.Stop(stop, id)
	}
	return nil
}
