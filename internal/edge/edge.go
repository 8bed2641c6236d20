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
	quietPeriod  = 600 * time.Millisecond  // without packets, after which a stopping instance is not needed
	noticePeriod = 1200 * time.Millisecond // for the fabric to notice that the instance is not ready: two misses, half a second apart
	stopReserve  = 700 * time.Millisecond  // of the grace time, for the end itself
	stopStep     = 50 * time.Millisecond
)

// Edge is one running instance.
type Edge struct {
	settings atomic.Pointer[settings.Settings]
	clock    carawaycart.Clock
	log      *eventlog.Log
	counters *Counters

	router    *steer.Router
	view      *View
	store     *platform.Store
	client    *peer.Client
	courier   *Courier
	registrar *Registrar
	reader    *Reader
	prober    *Prober
	hedger    *Hedger
	peers     *peer.Server
	port      *fabric.Port
	ready     *http.Server
	operators *operator.Server

	stopping atomic.Bool
	isolated atomic.Bool // as logged
	last     atomic.Int64
}

// New returns a running instance with the given settings and open sockets.
func New(s settings.Settings, o *Sockets, log *eventlog.Log) (*Edge, error) {
	clock := carawaycart.NewSteadyClock()
	e := &Edge{clock: clock, log: log, counters: NewCounters()}
	e.settings.Store(&s)
	e.prober = NewProber(clock, e.counters, log)
	watcher := &observer{counters: e.counters, log: log, prober: e.prober}
	e.router = steer.NewRouter(s.Zone, rand.NewPCG(rand.Uint64(), rand.Uint64()), watcher)
	e.prober.router = e.router
	e.hedger = NewHedger(e.router, o.Fabric, clock, log)
	e.view = NewView(s.ID, steer.Limits{ColdOverrun: s.ColdOverrun, ColdSlack: s.ColdSlack}, e.router, clock, log)
	e.store = platform.NewStore(s.Store, e.counters.StoreCall)
	e.client = peer.NewClient(e.counters)
	own := carawaycart.Registration{ID: s.ID, Zone: s.Zone, PeerAddress: o.News.LocalAddr().(*net.UDPAddr).AddrPort()}
	e.registrar = NewRegistrar(own, e.store, e.view, clock, log)
	e.courier = NewCourier(s.ID, s.Zone, e.view, e.router, o.News, e.client, e.registrar, clock, log)
	watcher.courier = e.courier
	e.prober.tell = e.courier.TellSilent
	var err error
	if e.peers, err = peer.NewDirectoryServer(o.Peer, e.courier, e.counters); err != nil {
		return nil, err
	}
	e.port = fabric.NewTranslatorPort(o.Fabric, s.FabricThreads, func() fabric.Translator {
		return &packets{router: e.router, clock: clock, counters: e.counters, resetPort: s.Fabric.Port(), last: &e.last, hedger: e.hedger}
	})
	e.counters.ShowView(
		func() int64 { return int64(e.view.State().At) },
		func() int64 { return clock.Now().Sub(e.view.State().Confirmed).Milliseconds() },
	)
	e.ready = newReadyServer(o.Ready, platform.ReadyPath, e.Ready)
	e.operators = operator.NewServer(o.Operator, e, e.counters.Registry)
	e.reader = NewReader(s, e.store, e.view, e.courier, e.registrar, clock, log)
	go e.join(own)
	log.Event("started").Text("zone", string(s.Zone)).Text("store", s.Store).End()
	return e, nil
}

// joinPeriod is between tries to reach a seed; all instances may start at once.
const joinPeriod = 50 * time.Millisecond

// When peers are asked which lifetimes have ended. Hosts that lose power with
// their zone come back within 1.5 s, and only then their old lifetimes end.
const (
	firstRemember = 100 * time.Millisecond
	laterRemember = 2500 * time.Millisecond
)

// join asks the seeds for what they know until one has answered or the store has.
// Peers of other zones are asked besides, now and a little later: the store keeps
// nothing of lifetimes that have ended, whose flows still come, and the peers of
// the own zone may have started at the same moment.
func (e *Edge) join(own carawaycart.Registration) {
	s := e.settings.Load()
	for try := int(rand.Uint32() & math.MaxInt16); len(s.Seeds) > 0 && e.view.State().Confirmed.IsZero() && !e.stopping.Load(); try++ {
		seed := netip.AddrPortFrom(s.Seeds[try%len(s.Seeds)].Addr(), s.Peer.Port())
		if seed == s.Peer {
			break
		}
		ctx, cancel := context.WithTimeout(context.Background(), fetchLimit)
		if e.courier.Join(ctx, seed, own) {
			e.registrar.Asked()
		}
		cancel()
		time.Sleep(joinPeriod)
	}
	for _, wait := range []time.Duration{firstRemember, laterRemember} {
		time.Sleep(wait)
		if e.stopping.Load() {
			return
		}
		e.remember()
	}
}

// remember asks an instance of another zone, or of the own one if there is no
// other.
func (e *Edge) remember() {
	instances := e.view.State().Instances
	peers := e.courier.others(instances)
	if len(peers) == 0 {
		peers = e.courier.neighbours(instances)
	}
	if len(peers) == 0 {
		return
	}
	p := peers[rand.IntN(len(peers))]
	ctx, cancel := context.WithTimeout(context.Background(), fetchLimit)
	defer cancel()
	e.courier.Fetch(ctx, p.PeerAddress, string(p.ID))
}

// Reload takes in settings that were read again, or the reason why they could
// not be. What names the instance or a socket takes effect at the next start.
func (e *Edge) Reload(s settings.Settings, err error) {
	if err == nil && s.Format != settings.FormatToken {
		err = errors.NotValidf("change of format to %q", s.Format)
	}
	if err != nil {
		e.log.Event("reloadRefused").Err(err).End()
		return
	}
	old := e.settings.Swap(&s)
	e.store.SetBase(s.Store)
	e.view.SetLimits(steer.Limits{ColdOverrun: s.ColdOverrun, ColdSlack: s.ColdSlack})
	restart := s.ID != old.ID || s.Zone != old.Zone || s.Fabric != old.Fabric || s.Ready != old.Ready ||
		s.Peer != old.Peer || s.Operator != old.Operator || s.FabricThreads != old.FabricThreads
	e.log.Event("reloaded").Text("store", s.Store).Bool("restartNeeded", restart).End()
}

// isolatedAge is the age of the view above which nothing is heard from outside
// the zone; peers or the own reads renew it about each 0.6 s.
const isolatedAge = 1200 * time.Millisecond

// Ready reports whether the fabric may send packets. An instance that is cut off
// from every endpoint, from the store and from all that read it asks for none, so
// that the instances of another zone are sent them.
func (e *Edge) Ready() bool {
	return !e.stopping.Load() && e.router.Table().Complete() && !e.Isolated()
}

// Isolated reports whether the instance can reach neither an endpoint that may
// take new flows nor, by itself or through peers, the store.
func (e *Edge) Isolated() bool {
	age := e.clock.Now().Sub(e.view.State().Confirmed)
	isolated := age > isolatedAge && !e.router.Reachable()
	if e.isolated.Swap(isolated) != isolated {
		e.log.Event("isolated").Bool("isolated", isolated).Millis("viewAgeMs", age).End()
	}
	return isolated
}

// Stop ends the instance as planned: it goes on forwarding until the fabric has
// turned to others or the grace time is nearly over.
func (e *Edge) Stop() {
	began := e.clock.Now()
	e.stopping.Store(true)
	e.log.Event("stopping").End()
	deadline := began.Add(e.settings.Load().GraceSeconds.Duration() - stopReserve)
	for now := began; now.Before(deadline); now = e.clock.Now() {
		quiet := now.Sub(time.Unix(0, e.last.Load())) > quietPeriod
		if quiet && now.Sub(began) > noticePeriod {
			break
		}
		time.Sleep(stopStep)
	}
	e.Close()
	e.log.Event("stopped").Millis("tookMs", e.clock.Now().Sub(began)).End()
}

// Close ends the instance at once.
func (e *Edge) Close() {
	e.reader.Close()
	e.courier.Close()
	e.peers.Close()
	if err := e.port.Close(); err != nil {
		e.log.Event("closeFailed").Err(err).End()
	}
	if err := e.ready.Close(); err != nil {
		e.log.Event("closeFailed").Err(err).End()
	}
	e.operators.Close()
	e.hedger.Close()
	e.prober.Close()
	e.client.Close()
	e.store.Close()
}

// Sockets are the open sockets of an instance.
type Sockets struct {
	Fabric   *net.UDPConn
	News     *net.UDPConn
	Peer     net.Listener
	Ready    net.Listener
	Operator net.Listener
}

// Open opens the sockets that s names.
func Open(s settings.Settings) (*Sockets, error) {
	o := &Sockets{}
	var err error
	if o.Fabric, err = socket.ListenUDP(s.Fabric, "fabric", 0); err != nil {
		return nil, err
	}
	if o.News, err = socket.ListenUDP(s.Peer, "peer", 0); err != nil {
		return nil, err
	}
	if o.Peer, err = socket.Listen(s.Peer, "peer"); err != nil {
		return nil, err
	}
	if o.Ready, err = socket.Listen(s.Ready, "ready"); err != nil {
		return nil, err
	}
	o.Operator, err = socket.Listen(s.Operator, "operator")
	return o, err
}
