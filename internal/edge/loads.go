package edge

import (
	"time"

	"carawaycart"
	"carawaycart/core/steer"
	"carawaycart/message"
)

const (
	// loadsPeriod is the time between reports of the loads of services while one is under
	// high load, and idleLoadsPeriod otherwise. Peers forget a report after 1.2 s.
	loadsPeriod     = 250 * time.Millisecond
	idleLoadsPeriod = 500 * time.Millisecond
)

// BroadcastLoads sends the loads of services to the peers of the zone, and those of the zone to
// relays in other zones if this instance is to, unless it did so lately. It must be called more
// often than every loadsPeriod.
func (d *Disseminator) BroadcastLoads(now time.Time) {
	loads, often := d.router.OwnLoads()
	if len(loads) == 0 {
		return
	}
	period := idleLoadsPeriod
	if often {
		period = loadsPeriod
	}
	d.mu.Lock()
	due := now.Sub(d.loadsAt) >= period
	if due {
		d.loadsAt = now
	}
	d.mu.Unlock()
	if !due {
		return
	}
	instances := d.view.State().Instances
	d.send(&message.DirectoryNews{From: string(d.self), Loads: newLoads(loads)}, d.zonePeers(instances))
	if zone := d.router.ZoneLoads(now); len(zone) > 0 {
		d.send(&message.DirectoryNews{From: string(d.self), Loads: newLoads(zone), LoadsZone: string(d.zone), Relay: true}, d.relayPeers(instances))
	}
}

// newLoads returns the messages for loads.
func newLoads(loads []steer.ServiceLoad) []*message.ServiceLoad {
	messages := make([]*message.ServiceLoad, len(loads))
	for i, l := range loads {
		messages[i] = &message.ServiceLoad{Service: string(l.Service), Load: float32(l.Load)}
	}
	return messages
}

// receiveLoads records the loads in update, and relays them if the sender asks for that.
func (d *Disseminator) receiveLoads(update *message.DirectoryNews) {
	loads := make([]steer.ServiceLoad, len(update.GetLoads()))
	for i, l := range update.GetLoads() {
		loads[i] = steer.ServiceLoad{Service: carawaycart.ServiceID(l.GetService()), Load: float64(l.GetLoad())}
	}
	d.router.RecordLoads(carawaycart.InstanceID(update.GetFrom()), carawaycart.ZoneID(update.GetLoadsZone()), loads, d.clock.Now())
	if update.GetRelay() {
		d.relay(update, d.view.State().Instances)
	}
}
