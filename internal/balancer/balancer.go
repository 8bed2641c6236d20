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

// Controllers are the controllers of an instance that have to be closed.
type Controllers struct {
	Membership *control.Membership
	Configurer *control.Configurer
	Keeping    *control.Keeping
	Settler    *control.Settler
	Replicator *control.Replicator
	Spreader   *control.Spreader
	Orders     *control.Orders
	Permits    *control.Permits
	Peers      *control.Peers
	Packets    *control.Packets
	Dispatcher *control.Dispatcher
	Explainer  *control.Explainer
}

// Balancer is one running instance.
type Balancer struct {
	Board    *board.Board
	Counters *counters.Counters

	controllers Controllers
	sockets     *Sockets
	client      *peer.Client
	endpoints   *endpoint.Client
	peers       *peer.Server
	ports       []*fabric.Port
	callers     *caller.Server
	operators   *operator.Server
}

// newMember returns what the instance states about itself first. A restart
// under the same name must override what the instance said before, so its
// incarnations begin with the time.
func newMember(s settings.Settings, o *Sockets, k carawaycart.Clock) carawaycart.Member {
	return carawaycart.Member{
		ID: s.ID, Zone: s.Zone, PeerAddress: o.Peer.Addr().(*net.TCPAddr).AddrPort(),
		Incarnation: carawaycart.Incarnation(k.Now().UnixMilli()), State: carawaycart.MemberJoining,
	}
}

func newBoard(m carawaycart.Member) *board.Board { return board.New(m.ID) }

func newSeeds(s settings.Settings) []netip.AddrPort { return s.Seeds }

func newPlatformStore(s settings.Settings, c *counters.Counters) *platform.Store {
	return platform.NewStore(s.Store, func() { c.StoreCalls.Inc(1) })
}

func newPlatformList(s settings.Settings) *platform.List { return platform.NewList(s.List) }

// newBalancer starts the servers of an instance whose controllers are running.
func newBalancer(s settings.Settings, o *Sockets, b *board.Board, _ *member.Table, c *counters.Counters,
	p *peer.Client, e *endpoint.Client, controllers Controllers,
) (*Balancer, error) {
	l := &Balancer{Board: b, Counters: c, controllers: controllers, sockets: o, client: p, endpoints: e}
	server, err := peer.NewServer(o.Peer, controllers.Peers, c)
	if err != nil {
		return nil, err
	}
	l.peers = server
	l.ports = []*fabric.Port{
		fabric.NewPort(o.Fabric, false, controllers.Packets, s.FabricThreads),
		fabric.NewPort(o.Relay, true, controllers.Packets, s.FabricThreads),
	}
	l.callers = caller.NewServer(o.Request, controllers.Dispatcher)
	l.operators = operator.NewServer(o.Operator, controllers.Explainer, c.Registry)
	klog.InfoS("started", "instance", s.ID, "zone", s.Zone, "fabric", l.FabricAddress(), "request", l.RequestAddress(),
		"peer", l.PeerAddress(), "operator", l.OperatorAddress())
	return l, nil
}

// FabricAddress returns the address for packets from the fabric.
func (l *Balancer) FabricAddress() netip.AddrPort {
	return l.sockets.Fabric.LocalAddr().(*net.UDPAddr).AddrPort()
}

// RequestAddress returns the address for requests of callers.
func (l *Balancer) RequestAddress() netip.AddrPort { return tcpAddress(l.sockets.Request) }

// PeerAddress returns the address for other instances.
func (l *Balancer) PeerAddress() netip.AddrPort { return tcpAddress(l.sockets.Peer) }

// OperatorAddress returns the address for operators.
func (l *Balancer) OperatorAddress() netip.AddrPort { return tcpAddress(l.sockets.Operator) }

func tcpAddress(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }

// Ready reports whether the instance has taken up its duties.
func (l *Balancer) Ready() bool {
	return l.controllers.Explainer.Status().State == carawaycart.MemberReady.String()
}

// Stop ends the instance as planned: it hands its duties over, finishes the
// requests that are running, and closes. Requests still running when ctx ends
// are cut off.
func (l *Balancer) Stop(ctx context.Context) error {
	klog.InfoS("stopping", "instance", l.Board.Self)
	left := make(chan struct{})
	go func() {
		defer close(left)
		l.controllers.Membership.Leave(ctx)
	}()
	err := l.callers.Stop(ctx)
	<-left
	l.close()
	return errors.Annotatef(err, "stop instance %s", l.Board.Self)
}

// Kill ends the instance at once, as a failure would.
func (l *Balancer) Kill() {
	l.sockets.Close()
	l.callers.Close()
	l.close()
}

func (l *Balancer) close() {
	l.controllers.Membership.Close()
	l.controllers.Keeping.Close()
	l.controllers.Settler.Close()
	l.controllers.Configurer.Close()
	l.controllers.Replicator.Close()
	l.controllers.Orders.Close()
	l.controllers.Permits.Close()
	l.controllers.Spreader.Close()
	for _, p := range l.ports {
		_ = p.Close()
	}
	l.peers.Close()
	l.operators.Close()
	l.client.Close()
	l.endpoints.Close()
}

// StopLimit is how long a planned stop may take.
const StopLimit = 30 * time.Second
