package balancer

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/core/member"
	"carawaycart/internal/control"
	"carawaycart/internal/counters"
	"carawaycart/internal/settings"
	"carawaycart/io/caller"
	"carawaycart/io/endpoint"
	"carawaycart/io/fabric"
	"carawaycart/io/operator"
	"carawaycart/io/peer"
	"carawaycart/io/platform"
)

// Controllers holds the controllers of an instance.
type Controllers struct {
	Membership      *control.Membership
	Configurer      *control.Configurer
	EndpointMonitor *control.EndpointMonitor
	Reconciler      *control.Reconciler
	Replicator      *control.Replicator
	Disseminator    *control.Disseminator
	Claimer         *control.Claimer
	Permits         *control.Permits
	PeerHandler     *control.PeerHandler
	PacketHandler   *control.PacketHandler
	Dispatcher      *control.Dispatcher
	Explainer       *control.Explainer
}

// Balancer is one running instance.
type Balancer struct {
	Board    *board.Board
	Counters *counters.Counters

	controllers    Controllers
	sockets        *Sockets
	peerClient     *peer.Client
	endpointClient *endpoint.Client
	peerServer     *peer.Server
	fabricPorts    []*fabric.Port
	callerServer   *caller.Server
	operatorServer *operator.Server
}

// newMember returns the initial member entry of the instance. Its incarnation
// starts at the current time in milliseconds, so that after a restart under the
// same name it overrides the entries of the previous run.
func newMember(s settings.Settings, o *Sockets, k carawaycart.Clock) carawaycart.Member {
	return carawaycart.Member{
		ID: s.ID, Zone: s.Zone, PeerAddress: o.Peer.Addr().(*net.TCPAddr).AddrPort(),
		Incarnation: carawaycart.Incarnation(k.Now().UnixMilli()), State: carawaycart.MemberJoining,
	}
}

func newBoard(m carawaycart.Member) *board.Board { return board.New(m.ID) }

func newSeeds(s settings.Settings) []netip.AddrPort { return s.Seeds }

func newPlatformStore(s settings.Settings, c *counters.Counters) *platform.Store {
	return platform.NewStore(s.StoreURL, func() { c.StoreCalls.Inc(1) })
}

func newPlatformList(s settings.Settings) *platform.InstanceList {
	return platform.NewInstanceList(s.InstanceListURL)
}

// newBalancer starts the servers of an instance whose controllers are running.
func newBalancer(s settings.Settings, o *Sockets, b *board.Board, _ *member.Table, c *counters.Counters,
	p *peer.Client, e *endpoint.Client, controllers Controllers,
) (*Balancer, error) {
	instance := &Balancer{Board: b, Counters: c, controllers: controllers, sockets: o, peerClient: p, endpointClient: e}
	server, err := peer.NewServer(o.Peer, controllers.PeerHandler, c)
	if err != nil {
		return nil, err
	}
	instance.peerServer = server
	// Packets that arrive at the relay socket were relayed by peers.
	instance.fabricPorts = []*fabric.Port{
		fabric.NewPort(o.Fabric, false, controllers.PacketHandler, s.FabricThreads),
		fabric.NewPort(o.Relay, true, controllers.PacketHandler, s.FabricThreads),
	}
	instance.callerServer = caller.NewServer(o.Request, controllers.Dispatcher)
	instance.operatorServer = operator.NewServer(o.Operator, controllers.Explainer, c.Registry)
	klog.InfoS("started", "instance", s.ID, "zone", s.Zone, "fabric", instance.FabricAddress(), "request", instance.RequestAddress(),
		"peer", instance.PeerAddress(), "operator", instance.OperatorAddress())
	return instance, nil
}

// FabricAddress returns the UDP address for packets from the fabric.
func (b *Balancer) FabricAddress() netip.AddrPort {
	return b.sockets.Fabric.LocalAddr().(*net.UDPAddr).AddrPort()
}

// RequestAddress returns the address for requests of callers.
func (b *Balancer) RequestAddress() netip.AddrPort { return tcpAddress(b.sockets.Request) }

// PeerAddress returns the address for other instances.
func (b *Balancer) PeerAddress() netip.AddrPort { return tcpAddress(b.sockets.Peer) }

// OperatorAddress returns the address for operators.
func (b *Balancer) OperatorAddress() netip.AddrPort { return tcpAddress(b.sockets.Operator) }

func tcpAddress(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// Ready reports whether the instance has joined the fleet and is not leaving it.
func (b *Balancer) Ready() bool {
	return b.controllers.Explainer.Status().State == carawaycart.MemberReady.String()
}

// Stop shuts the instance down gracefully: it leaves the fleet, finishes the
// running requests, and closes. Requests still running when ctx ends are aborted.
func (b *Balancer) Stop(ctx context.Context) error {
	klog.InfoS("stopping", "instance", b.Board.Self)
	left := make(chan struct{})
	go func() {
		defer close(left)
		b.controllers.Membership.Leave(ctx)
	}()
	err := b.callerServer.Stop(ctx)
	<-left
	b.close()
	return errors.Annotatef(err, "stop instance %s", b.Board.Self)
}

// Kill closes the instance immediately, as a crash would.
func (b *Balancer) Kill() {
	b.sockets.Close()
	b.callerServer.Close()
	b.close()
}

// close closes all but the server for callers and its socket.
func (b *Balancer) close() {
	b.controllers.Membership.Close()
	b.controllers.EndpointMonitor.Close()
	b.controllers.Reconciler.Close()
	b.controllers.Configurer.Close()
	b.controllers.Replicator.Close()
	b.controllers.Claimer.Close()
	b.controllers.Permits.Close()
	b.controllers.Disseminator.Close()
	for _, p := range b.fabricPorts {
		_ = p.Close()
	}
	b.peerServer.Close()
	b.operatorServer.Close()
	b.peerClient.Close()
	b.endpointClient.Close()
}

// StopTimeout is the time that callers of Stop should allow for a graceful
// shutdown.
const StopTimeout = 30 * time.Second
