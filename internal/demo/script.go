package demo

import (
	"context"
	"time"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/internal/balancer"
	"carawaycart/internal/standin"
)

// runScript drives the fleet through a fixed series of planned changes and
// failures.
func (d *Demo) runScript(ctx context.Context) error {
	steps := []func(context.Context) error{
		d.awaitSteadyState, d.drain, d.replaceInstance, d.setEndpointCold, d.zoneOut, d.storeOutage, d.zoneBack, d.plannedStop,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return pause(ctx, 2*time.Second)
}

// pause blocks for p or until ctx ends.
func pause(ctx context.Context, p time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(p):
		return nil
	}
}

// awaitSteadyState waits until the feeds are open and records how evenly they are
// distributed over the endpoints of the main service.
func (d *Demo) awaitSteadyState(ctx context.Context) error {
	if err := pause(ctx, rampPeriod+2*time.Second); err != nil {
		return err
	}
	total, highest, endpoints := 0, 0, 0
	for id, e := range d.fleet.Endpoints() {
		if e.Endpoint().Service != d.options.Site.Main.ID {
			continue
		}
		n := d.fleet.Endpoints()[id].Flows()
		total += n
		highest = max(highest, n)
		endpoints++
	}
	if total > 0 {
		d.report.ImbalanceMaxOverMean = float64(highest) * float64(endpoints) / float64(total)
	}
	d.printProgress("%d feeds established on %d endpoints, imbalance %.3f", total, endpoints, d.report.ImbalanceMaxOverMean)
	return nil
}

// endpointID returns the ID of endpoint i of the main service.
func (d *Demo) endpointID(i int) carawaycart.EndpointID {
	return standin.EndpointName(d.options.Site.Main.ID, i)
}

// randomInt returns a random number in [0, n).
func (d *Demo) randomInt(n int) int { return d.random.IntN(n) }

// drain marks one of the first four endpoints of the main service as leaving.
func (d *Demo) drain(ctx context.Context) error {
	id := d.endpointID(d.randomInt(4))
	err := d.applyChange(ctx, "endpoint "+string(id)+" is leaving", func() (carawaycart.Change, error) {
		d.fleet.Ledger.SetCutoff(string(id), graceDeadline())
		return d.admin.MarkLeaving(ctx, id)
	})
	if err != nil {
		return err
	}
	return pause(ctx, 2*time.Second)
}

// replaceInstance kills a random instance and starts another in its zone.
func (d *Demo) replaceInstance(ctx context.Context) error {
	zones := d.options.Site.Zones
	z := zones[d.randomInt(len(zones))]
	failed := standin.InstanceName(z, d.randomInt(d.options.Site.Instances/len(zones)))
	d.printProgress("instance %s is killed", failed)
	d.fleet.Kill(failed)
	if err := pause(ctx, 2*time.Second); err != nil {
		return err
	}
	replacement := standin.InstanceName(z, d.options.Site.Instances/len(zones))
	if err := d.addInstance(replacement, z); err != nil {
		return err
	}
	d.fleet.EnableTraffic(replacement)
	d.printProgress("instance %s joins", replacement)
	return pause(ctx, 2*time.Second)
}

// setEndpointCold makes one of the endpoints 4 to 7 of the main service cold, counted
// from zero. These differ from the endpoints of which drain marks one as leaving.
func (d *Demo) setEndpointCold(ctx context.Context) error {
	id := d.endpointID(4 + d.randomInt(4))
	d.fleet.Endpoints()[id].SetCold(coldPeriod)
	d.printProgress("endpoint %s becomes cold without a configuration change", id)
	return pause(ctx, 2*time.Second)
}

// zoneToTakeOut returns the zone that the script takes out of service.
func (d *Demo) zoneToTakeOut() carawaycart.ZoneID {
	return d.options.Site.Zones[len(d.options.Site.Zones)-1]
}

// zoneOut takes the zone that zoneToTakeOut returns out of service.
func (d *Demo) zoneOut(ctx context.Context) error {
	z := d.zoneToTakeOut()
	err := d.applyChange(ctx, "zone "+string(z)+" is taken out", func() (carawaycart.Change, error) {
		d.fleet.Ledger.SetCutoff(string(z), graceDeadline())
		return d.admin.SetZoneOut(ctx, z, true)
	})
	if err != nil {
		return err
	}
	return pause(ctx, 4*time.Second)
}

// storeOutage kills an instance during an outage of the store, unless an earlier
// step has killed it, and checks that a configuration change fails with an error.
func (d *Demo) storeOutage(ctx context.Context) error {
	d.fleet.Store.SetDown(true)
	d.printProgress("the store is down")
	_, err := d.admin.SetZoneOut(ctx, d.zoneToTakeOut(), false)
	if err == nil {
		return errors.New("a change was accepted while the store was down")
	}
	zones := d.options.Site.Zones
	failed := standin.InstanceName(zones[d.randomInt(2)], 0)
	if _, ok := d.fleet.Instances()[failed]; ok {
		d.printProgress("instance %s is killed during the outage", failed)
		d.fleet.Kill(failed)
	}
	if err := pause(ctx, 3*time.Second); err != nil {
		return err
	}
	d.fleet.Store.SetDown(false)
	d.printProgress("the store is up again")
	return nil
}

// zoneBack brings the zone that zoneToTakeOut returns back into service.
func (d *Demo) zoneBack(ctx context.Context) error {
	z := d.zoneToTakeOut()
	err := d.applyChange(ctx, "zone "+string(z)+" is brought back", func() (carawaycart.Change, error) {
		c, err := d.admin.SetZoneOut(ctx, z, false)
		if err == nil {
			d.fleet.Ledger.SetCutoff(string(z), time.Time{})
		}
		return c, err
	})
	if err != nil {
		return err
	}
	return pause(ctx, time.Second)
}

// plannedStop performs a planned stop of the second instance of the third zone. It
// does nothing if an earlier step has killed that instance.
func (d *Demo) plannedStop(ctx context.Context) error {
	z := d.options.Site.Zones[2]
	for id := range d.fleet.Instances() {
		if id != standin.InstanceName(z, 1) {
			continue
		}
		d.printProgress("planned stop of instance %s", id)
		stopCtx, cancel := context.WithTimeout(ctx, balancer.StopTimeout)
		defer cancel()
		return d.fleet.Stop(stopCtx, id)
	}
	return nil
}
