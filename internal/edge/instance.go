package edge

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/core/steer"
	"carawaycart/internal/eventlog"
	"carawaycart/internal/settings"
	"carawaycart/io/fabric"
	"carawaycart/io/operator"
	"carawaycart/io/peer"
	"carawaycart/io/socket"
	"carawaycart/platform"
)

const (
	// idlePeriod is the time without packets after which a stopping instance may
	// close.
	idlePeriod = 600 * time.Millisecond

	// unreadyNoticePeriod is the time the fabric needs to notice that the instance
	// is not ready: two failed checks, half a second apart.
	unreadyNoticePeriod = 1200 * time.Millisecond

	closeReserve   = 700 * time.Millisecond // part of the grace time reserved for Close
	stopPollPeriod = 50 * time.Millisecond  // period of checking whether the instance may close
)

// Instance is one running instance of the load balancer.
type Instance struct {
	settings atomic.Pointer[settings.Settings]
	clock    carawaycart.Clock
	log      *eventlog.Log
	counters *Counters

	router         *steer.Router
	view           *View
	store          *platform.Store
	client         *peer.Client
	disseminator   *Disseminator
	registrar      *Registrar
	reader         *Reader
	watcher        *Watcher
	prober         *Prober
	hedger         *Hedger
	sender         *queueSender
	asker          *flowAsker
	timer          *deadlineTimer
	backlogSender  *backlogSender
	peerServer     *peer.Server
	fabricPort     *fabric.Port
	readyServer    *http.Server
	operatorServer *operator.Server

	loading        atomic.Pointer[Reader] // the reader, for goroutines that start before it
	stopping       atomic.Bool
	loggedIsolated atomic.Bool  // value in the last logged isolated event
	lastPacket     atomic.Int64 // time of the last packet, in Unix nanoseconds of clock
}

// New starts an instance with the given settings on open sockets. It returns an
// error if the server for peers cannot be started.
func New(s settings.Settings, sockets *Sockets, log *eventlog.Log) (*Instance, error) {
	clock := carawaycart.NewMonotonicClock()
	e := &Instance{clock: clock, log: log, counters: NewCounters()}
	e.settings.Store(&s)
	e.prober = NewProber(clock, e.counters, log)
	routerObserver := &observer{counters: e.counters, log: log, prober: e.prober}
	e.router = steer.NewRouter(s.Zone, rand.NewPCG(rand.Uint64(), rand.Uint64()), routerObserver)
	e.prober.router = e.router
	e.hedger = NewHedger(e.router, sockets.Fabric, clock, log)
	e.sender = newQueueSender(e.router, e.hedger, sockets.Fabric, clock, log)
	routerObserver.sender = e.sender
	e.view = NewView(s.ID, steer.ColdLimits{ColdOverrun: s.ColdOverrun, ColdSlack: s.ColdSlack}, e.router, clock, log)
	e.store = platform.NewStore(s.StoreURL, e.counters.CountStoreCall)
	e.client = peer.NewClient(e.counters)
	own := carawaycart.Registration{ID: s.ID, Zone: s.Zone, PeerAddress: sockets.Updates.LocalAddr().(*net.UDPAddr).AddrPort()}
	e.registrar = NewRegistrar(own, e.store, e.view, clock, log)
	e.disseminator = NewDisseminator(s.ID, s.Zone, e.view, e.router, sockets.Updates, e.client, e.registrar, clock, log)
	e.disseminator.firstStart.Store(s.FirstStart)
	routerObserver.disseminator = e.disseminator
	e.prober.loading = func() bool {
		r := e.loading.Load()
		return e.disseminator.Sending() || r != nil && r.Loading()
	}
	e.prober.notifySilent, e.prober.notifyRestarted = e.disseminator.BroadcastSilent, e.disseminator.BroadcastRestart
	e.prober.reset = (&resetter{conn: sockets.Fabric, port: s.FabricAddress.Port(), counters: e.counters, log: log}).reset
	var err error
	if e.peerServer, err = peer.NewDirectoryServer(sockets.Peer, e.disseminator, e.counters); err != nil {
		e.disseminator.Close()
		e.sender.close()
		e.hedger.Close()
		e.prober.Close()
		sockets.close()
		return nil, err
	}
	stalls := newStallDetector(clock.Now())
	e.startFabric(&s, sockets, stalls)
	e.counters.RegisterViewGauges(
		func() int64 { return int64(e.view.State().Position.Revision) },
		func() int64 { return clock.Now().Sub(e.view.State().LastReadAt).Milliseconds() },
		func() int64 { return int64(e.view.State().ItemsRefused) },
	)
	e.readyServer = newReadyServer(sockets.Ready, platform.ReadyPath, e.Ready)
	e.operatorServer = operator.NewServer(sockets.Operator, e, e.counters.Registry)
	e.timer = newDeadlineTimer(e.router, stalls, e.disseminator, clock)
	e.watcher = NewWatcher(s.ID, s.Zone, e.store, e.view, e.disseminator, clock, log)
	e.reader = NewReader(s, e.store, e.view, e.disseminator, e.registrar, e.watcher, clock, log)
	e.loading.Store(e.reader)
	go e.join(own)
	log.Event("started").Text("zone", string(s.Zone)).Text("store", s.StoreURL).End()
	return e, nil
}

// startFabric starts to forward the packets that arrive at the socket of the fabric.
func (e *Instance) startFabric(s *settings.Settings, sockets *Sockets, stalls *stallDetector) {
	backlog := &steer.Backlog{}
	newTranslator := func() *translator {
		return &translator{
			router: e.router, clock: e.clock, counters: e.counters, resetPort: s.FabricAddress.Port(), lastPacket: &e.lastPacket, hedger: e.hedger, sender: e.sender,
			asker: e.asker, backlog: backlog, stalls: stalls, log: e.log,
		}
	}
	e.asker = newFlowAsker(newTranslator(), e.disseminator, sockets.Fabric)
	e.backlogSender = newBacklogSender(backlog, e.router, newTranslator(), sockets.Fabric, e.clock, e.log)
	e.fabricPort = fabric.NewTranslatorPort(sockets.Fabric, s.FabricThreads, func() fabric.Translator { return newTranslator() })
}

// joinRetryPeriod is the time between requests to seeds. A seed may itself still be
// starting, since all instances may start at the same time.
const joinRetryPeriod = 50 * time.Millisecond

// Delays before each of the two requests to a peer for changes and ended lifetimes.
// Endpoints that lose power with their zone return within 1.5 s, and their old
// lifetimes end only then. The second request finds those.
const (
	firstRefreshDelay  = 100 * time.Millisecond
	secondRefreshDelay = 2500 * time.Millisecond
)

// join requests a snapshot from the seeds in turn, beginning with a random one,
// until one of them or the store has answered, or it reaches its own address among
// the seeds. It then fetches changes and ended lifetimes twice from a peer of another zone:
// the store does not retain ended lifetimes, although packets of their flows still
// arrive, and peers of the own zone may have started at the same time.
func (e *Instance) join(own carawaycart.Registration) {
	s := e.settings.Load()
	for attempt := int(rand.Uint32() & math.MaxInt16); len(s.Seeds) > 0 && e.view.State().LastReadAt.IsZero() && !e.stopping.Load(); attempt++ {
		seed := netip.AddrPortFrom(s.Seeds[attempt%len(s.Seeds)].Addr(), s.PeerAddress.Port())
		if seed == s.PeerAddress {
			break
		}
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
		if e.disseminator.Join(ctx, seed, own) {
			e.registrar.ExpectRegistration()
		}
		cancel()
		time.Sleep(joinRetryPeriod)
	}
	for _, wait := range []time.Duration{firstRefreshDelay, secondRefreshDelay} {
		time.Sleep(wait)
		if e.stopping.Load() {
			return
		}
		e.refresh()
	}
}

// refresh fetches the changes and the ended lifetimes from a random instance of another
// zone, or of the own zone if there is no other.
func (e *Instance) refresh() {
	instances := e.view.State().Instances
	peers := e.disseminator.remotePeers(instances)
	if len(peers) == 0 {
		peers = e.disseminator.zonePeers(instances)
	}
	if len(peers) == 0 {
		return
	}
	chosen := peers[rand.IntN(len(peers))]
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	e.disseminator.Refresh(ctx, chosen.PeerAddress, string(chosen.ID))
}

// Reload applies settings that were read again, or logs err if they could not be
// read. A change of the instance's ID or zone, of a socket or of the number of
// fabric threads takes effect at the next start.
func (e *Instance) Reload(s settings.Settings, err error) {
	if err == nil && s.Format != settings.FormatToken {
		err = errors.NotValidf("change of fabric format to %q in a running instance", s.Format)
	}
	if err != nil {
		e.log.Event("reloadRefused").Err(err).End()
		return
	}
	old := e.settings.Swap(&s)
	e.store.SetBaseURL(s.StoreURL)
	e.view.SetLimits(steer.ColdLimits{ColdOverrun: s.ColdOverrun, ColdSlack: s.ColdSlack})
	restart := s.ID != old.ID || s.Zone != old.Zone || s.FabricAddress != old.FabricAddress || s.ReadyAddress != old.ReadyAddress ||
		s.PeerAddress != old.PeerAddress || s.OperatorAddress != old.OperatorAddress || s.FabricThreads != old.FabricThreads
	e.log.Event("reloaded").Text("store", s.StoreURL).Bool("restartNeeded", restart).End()
}

// isolatedViewAge is the age of the view above which the instance counts as cut
// off from the store and from peers that read it. Reads by peers or by the
// instance itself renew the view about every 0.6 s.
const isolatedViewAge = 1200 * time.Millisecond

// Ready reports whether the fabric may send packets to the instance. An isolated
// instance is not ready, so that the fabric sends its packets to instances of
// other zones.
func (e *Instance) Ready() bool {
	return !e.stopping.Load() && e.router.Table().HasConfig() && !e.Isolated()
}

// Isolated reports whether the instance can reach neither an endpoint that accepts
// new flows nor the store, directly or through peers. It logs each change.
func (e *Instance) Isolated() bool {
	now := e.clock.Now()
	age := now.Sub(e.view.State().LastReadAt)
	isolated := age > isolatedViewAge && !e.router.Reachable(now)
	if e.loggedIsolated.Swap(isolated) != isolated {
		e.log.Event("isolated").Bool("isolated", isolated).Millis("viewAgeMs", age).End()
	}
	return isolated
}

// Stop shuts the instance down gracefully. The instance is no longer ready, but keeps
// forwarding packets until the fabric sends no more or the grace time is nearly over.
func (e *Instance) Stop() {
	began := e.clock.Now()
	e.stopping.Store(true)
	e.log.Event("stopping").End()
	e.disseminator.HandOverFlows()
	deadline := began.Add(e.settings.Load().GraceMillis.Duration() - closeReserve)
	for now := began; now.Before(deadline); now = e.clock.Now() {
		idle := now.Sub(time.Unix(0, e.lastPacket.Load())) > idlePeriod
		if idle && now.Sub(began) > unreadyNoticePeriod {
			break
		}
		time.Sleep(stopPollPeriod)
	}
	e.Close()
	e.log.Event("stopped").Millis("tookMs", e.clock.Now().Sub(began)).End()
}

// Close shuts the instance down immediately.
func (e *Instance) Close() {
	e.reader.Close()
	e.watcher.Close()
	e.disseminator.Close()
	e.peerServer.Close()
	if err := e.fabricPort.Close(); err != nil {
		e.log.Event("closeFailed").Err(err).End()
	}
	if err := e.readyServer.Close(); err != nil {
		e.log.Event("closeFailed").Err(err).End()
	}
	e.operatorServer.Close()
	e.sender.close()
	e.asker.close()
	e.hedger.Close()
	e.timer.close()
	e.backlogSender.close()
	e.prober.Close()
	e.client.Close()
	e.store.Close()
}

// Sockets holds the open sockets of an instance.
type Sockets struct {
	Fabric   *net.UDPConn // packets of callers
	Updates  *net.UDPConn // datagrams between peers; has the address of Peer
	Peer     net.Listener // requests of peers for snapshots
	Ready    net.Listener // readiness checks of the fabric
	Operator net.Listener // status, explanations and metrics
}

// OpenSockets opens the sockets at the addresses in s. If one cannot be opened, it closes
// the others and returns the error.
func OpenSockets(s settings.Settings) (*Sockets, error) {
	sockets := &Sockets{}
	open := func() (err error) {
		if sockets.Fabric, err = socket.ListenUDP(s.FabricAddress, "fabric", 0); err != nil {
			return err
		}
		if sockets.Updates, err = socket.ListenUDP(s.PeerAddress, "peer", 0); err != nil {
			return err
		}
		if sockets.Peer, err = socket.Listen(s.PeerAddress, "peer"); err != nil {
			return err
		}
		if sockets.Ready, err = socket.Listen(s.ReadyAddress, "ready"); err != nil {
			return err
		}
		sockets.Operator, err = socket.Listen(s.OperatorAddress, "operator")
		return err
	}
	if err := open(); err != nil {
		sockets.close()
		return nil, err
	}
	return sockets, nil
}

// close closes the sockets that are open.
func (s *Sockets) close() {
	for _, conn := range []*net.UDPConn{s.Fabric, s.Updates} {
		if conn != nil {
			_ = conn.Close()
		}
	}
	for _, listener := range []net.Listener{s.Peer, s.Ready, s.Operator} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
