//go:build wireinject

package balancer

import (
	"github.com/google/wire"

	"carawaycart"
	"carawaycart/core/claim"
	"carawaycart/core/flow"
	"carawaycart/core/member"
	"carawaycart/internal/control"
	"carawaycart/internal/counters"
	"carawaycart/internal/settings"
	"carawaycart/io/endpoint"
	"carawaycart/io/peer"
	"carawaycart/io/platform"
)

// New starts an instance with settings s on sockets o.
func New(s settings.Settings, o *Sockets, k carawaycart.Clock) (*Balancer, error) {
	wire.Build(
		newMember, newBoard, newSeeds, newPlatformStore, newPlatformList,
		member.NewTable, flow.NewRecords, flow.NewRouter, claim.NewTable, counters.New,
		peer.NewClient, wire.Bind(new(peer.Meter), new(*counters.Counters)),
		endpoint.NewClient, wire.Bind(new(carawaycart.LoadReporter), new(*endpoint.Client)),
		wire.Bind(new(carawaycart.Store), new(*platform.Store)),
		wire.Bind(new(carawaycart.InstanceList), new(*platform.InstanceList)),
		platform.NewChangeLog,
		control.NewDisseminator, control.NewConfigurer, control.NewUpdateReceiver, control.NewReplicator, control.NewMembership,
		control.NewEndpointMonitor, control.NewReconciler, control.NewClaimer, control.NewPermits, control.NewSender, control.NewDispatcher,
		control.NewPacketHandler, control.NewPeerHandler, control.NewExplainer,
		wire.Struct(new(Controllers), "*"),
		newBalancer,
	)
	return nil, nil
}
