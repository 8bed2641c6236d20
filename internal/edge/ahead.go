package edge

import (
	"google.golang.org/protobuf/proto"

	"carawaycart"
	"carawaycart/message"
)

// BroadcastAhead sends items of the given era that are ahead of the last read to the peers of
// the zone and to relays in other zones.
func (d *Disseminator) BroadcastAhead(items []carawaycart.StoreItem, era carawaycart.StoreEra) {
	for _, i := range items {
		update := &message.DirectoryNews{From: string(d.self), Era: uint64(era), Ahead: true, Items: message.FromItems([]carawaycart.StoreItem{i})}
		if proto.Size(update) <= maxUpdateBytes {
			d.sendAhead(update)
		}
	}
}

// BroadcastRestart notifies the peers of the zone, and relays in other zones, that the endpoint
// with token t has started again since, which the store has not told yet.
func (d *Disseminator) BroadcastRestart(t carawaycart.Token) {
	d.sendAhead(&message.DirectoryNews{From: string(d.self), Ahead: true, RestartedTokens: []uint32{uint32(t)}})
}

// sendAhead sends update to the peers of the zone and to relays in other zones.
func (d *Disseminator) sendAhead(update *message.DirectoryNews) {
	instances := d.view.State().Instances
	update.Relay = true
	d.send(update, d.relayPeers(instances))
	update.Relay = false
	d.send(update, d.zonePeers(instances))
}

// receiveAhead applies what a peer tells ahead of the last read, items and restarts, and
// relays it if asked to.
func (d *Disseminator) receiveAhead(update *message.DirectoryNews) {
	d.view.ApplyAhead(message.ToItems(update.GetItems()), carawaycart.StoreEra(update.GetEra()), update.GetFrom())
	for _, t := range update.GetRestartedTokens() {
		d.router.RecordRestart(carawaycart.Token(t), d.clock.Now())
	}
	if update.GetRelay() {
		d.relay(update, d.view.State().Instances)
	}
}
