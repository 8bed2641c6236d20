package demo

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/internal/balancer"
	"carawaycart/internal/settings"
	"carawaycart/internal/standin"
)

const (
	loopbackAnyPort = "127.0.0.1:0"
	listDelay       = time.Second // time until the instance list shows a change
	fabricDelay     = time.Second // time until the fabric detects a failed instance
	meterInterval   = time.Second // time between measurements of control traffic
)

// Fleet is a set of instances that share an emulated platform and a set of
// emulated endpoints.
type Fleet struct {
	Store        *standin.Store
	InstanceList *standin.InstanceList
	Fabric       *standin.Fabric
	Ledger       *standin.Ledger
	Requests     *standin.RequestCaller // sends the keyed requests

	mu        sync.Mutex
	instances map[carawaycart.InstanceID]*balancer.Balancer
	endpoints map[carawaycart.EndpointID]*standin.EmulatedEndpoint
	meters    map[carawaycart.InstanceID]*meter // including those of ended instances
}

// meter measures the control traffic that one instance sends.
type meter struct {
	start         time.Time
	baselineBytes int64   // bytes sent before start
	bytes         int64   // bytes sent so far, including baselineBytes
	peak          float64 // highest rate within one meterInterval, in bytes per second
	lastBytes     int64   // value of bytes at the previous measurement
}

// NewFleet returns a fleet without instances or endpoints. Its keyed requests are
// sent to service; seed determines the random choices of the fabric and callers.
func NewFleet(service carawaycart.ServiceID, seed uint64) (*Fleet, error) {
	f := &Fleet{
		Ledger:    standin.NewLedger(),
		instances: make(map[carawaycart.InstanceID]*balancer.Balancer),
		endpoints: make(map[carawaycart.EndpointID]*standin.EmulatedEndpoint),
		meters:    make(map[carawaycart.InstanceID]*meter),
	}
	var err error
	if f.Store, err = standin.NewStore(loopbackAnyPort); err != nil {
		return nil, err
	}
	if f.InstanceList, err = standin.NewInstanceList(loopbackAnyPort, listDelay); err != nil {
		return nil, err
	}
	if f.Fabric, err = standin.NewFabric(loopbackAnyPort, seed); err != nil {
		return nil, err
	}
	f.Requests = standin.NewRequestCaller(service, f.Ledger, seed)
	return f, nil
}

// AddEndpoint starts an endpoint.
func (f *Fleet) AddEndpoint(c standin.EndpointConfig) (*standin.EmulatedEndpoint, error) {
	e, err := standin.NewEmulatedEndpoint(c, loopbackAnyPort, f.Ledger, f.Fabric)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints[c.ID] = e
	return e, nil
}

// Endpoints returns a copy of the map of endpoints.
func (f *Fleet) Endpoints() map[carawaycart.EndpointID]*standin.EmulatedEndpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	endpoints := make(map[carawaycart.EndpointID]*standin.EmulatedEndpoint, len(f.endpoints))
	for id, e := range f.endpoints {
		endpoints[id] = e
	}
	return endpoints
}

// ZoneOf returns the availability zone of an endpoint, or the empty ID if the
// endpoint does not exist.
func (f *Fleet) ZoneOf(id carawaycart.EndpointID) carawaycart.ZoneID {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[id]; e != nil {
		return e.Zone()
	}
	return ""
}

// AddInstance starts an instance and adds it to the instance list.
func (f *Fleet) AddInstance(id carawaycart.InstanceID, zone carawaycart.ZoneID) error {
	address := netip.MustParseAddrPort(loopbackAnyPort)
	s := settings.Settings{
		ID: id, Zone: zone, FabricAddress: address, RequestAddress: address, PeerAddress: address, OperatorAddress: address,
		StoreURL: f.Store.URL(), InstanceListURL: f.InstanceList.URL(), FabricThreads: 1,
	}
	sockets, err := balancer.Open(s)
	if err != nil {
		return errors.Annotatef(err, "start instance %s", id)
	}
	b, err := balancer.New(s, sockets, carawaycart.NewSystemClock())
	if err != nil {
		return errors.Annotatef(err, "start instance %s", id)
	}
	f.mu.Lock()
	f.instances[id] = b
	f.meters[id] = &meter{start: time.Now()}
	f.mu.Unlock()
	f.InstanceList.Add(carawaycart.ListedInstance{ID: id, Zone: zone, PeerAddress: b.PeerAddress()})
	return nil
}

// EnableTraffic adds a running instance to the targets of the fabric and of callers.
func (f *Fleet) EnableTraffic(id carawaycart.InstanceID) {
	f.mu.Lock()
	b := f.instances[id]
	f.mu.Unlock()
	f.Fabric.Add(id, b.FabricAddress())
	f.Requests.Add(standin.RequestTarget{ID: id, Address: b.RequestAddress()})
}

// Instances returns a copy of the map of running instances.
func (f *Fleet) Instances() map[carawaycart.InstanceID]*balancer.Balancer {
	f.mu.Lock()
	defer f.mu.Unlock()
	instances := make(map[carawaycart.InstanceID]*balancer.Balancer, len(f.instances))
	for id, b := range f.instances {
		instances[id] = b
	}
	return instances
}

// removeInstance removes an instance from the fleet, after a last measurement of
// its control traffic, and returns it.
func (f *Fleet) removeInstance(id carawaycart.InstanceID) *balancer.Balancer {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.instances[id]
	f.measureLocked(id, b)
	delete(f.instances, id)
	return b
}

// Kill ends an instance without a planned stop. It then removes the instance from
// the targets of callers and the instance list, and after fabricDelay from the
// fabric.
func (f *Fleet) Kill(id carawaycart.InstanceID) {
	f.removeInstance(id).Kill()
	f.Requests.Remove(id)
	f.InstanceList.Remove(id)
	time.AfterFunc(fabricDelay, func() { f.Fabric.Remove(id) })
}

// Stop performs a planned stop of an instance. It removes the instance from the
// instance list and the fabric before the stop. Callers send requests to it until
// the end of the stop, and count those that the stop interrupts.
func (f *Fleet) Stop(ctx context.Context, id carawaycart.InstanceID) error {
	f.Requests.MarkStopping(id)
	f.InstanceList.Remove(id)
	b := f.removeInstance(id)
	f.Fabric.Remove(id)
	err := b.Stop(ctx)
	f.Requests.Remove(id)
	return err
}

// AwaitReady waits until all instances are ready and have applied revision r. It
// returns an error if ctx ends first.
func (f *Fleet) AwaitReady(ctx context.Context, r carawaycart.Revision) error {
	return f.await(ctx, func(b *balancer.Balancer) bool { return b.Ready() && b.Board.Revision() >= r })
}

// AwaitRevision waits until all instances have applied revision r. It returns an
// error if ctx ends first.
func (f *Fleet) AwaitRevision(ctx context.Context, r carawaycart.Revision) error {
	return f.await(ctx, func(b *balancer.Balancer) bool { return b.Board.Revision() >= r })
}

// await polls the instances until done holds for all of them or ctx ends.
func (f *Fleet) await(ctx context.Context, done func(*balancer.Balancer) bool) error {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		all := true
		for _, b := range f.Instances() {
			all = all && done(b)
		}
		if all {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// MeasureControlBytes measures the control traffic of the instances until ctx
// ends. It excludes the bytes that the running instances have sent so far, and
// includes the bytes that later instances send to join.
func (f *Fleet) MeasureControlBytes(ctx context.Context) {
	f.mu.Lock()
	for id, b := range f.instances {
		sent := b.Counters.ControlBytes.Count()
		f.meters[id] = &meter{start: time.Now(), baselineBytes: sent, bytes: sent, lastBytes: sent}
	}
	f.mu.Unlock()
	ticker := time.NewTicker(meterInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.mu.Lock()
			for id, b := range f.instances {
				f.measureLocked(id, b)
			}
			f.mu.Unlock()
		}
	}
}

// measureLocked updates the meter of an instance. f.mu must be held.
func (f *Fleet) measureLocked(id carawaycart.InstanceID, b *balancer.Balancer) {
	m := f.meters[id]
	m.bytes = b.Counters.ControlBytes.Count()
	m.peak = max(m.peak, float64(m.bytes-m.lastBytes)/meterInterval.Seconds())
	m.lastBytes = m.bytes
}

// minMeasuredPeriod is the shortest period over which a mean rate is computed.
const minMeasuredPeriod = 5 * time.Second

// ControlBytes returns, in bytes per second, the highest mean rate of control
// traffic of an instance and the highest rate within one meterInterval.
func (f *Fleet) ControlBytes() (mean, peak float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.meters {
		if period := time.Since(m.start); period >= minMeasuredPeriod {
			mean = max(mean, float64(m.bytes-m.baselineBytes)/period.Seconds())
		}
		peak = max(peak, m.peak)
	}
	return mean, peak
}

// ControlBytesByCall returns the control bytes of the running instances by RPC
// method.
func (f *Fleet) ControlBytesByCall() map[string]int64 {
	calls := make(map[string]int64)
	for _, b := range f.Instances() {
		for method, bytes := range b.Counters.BytesByCall() {
			calls[method] += bytes
		}
	}
	return calls
}

// Close ends the instances, endpoints, callers and the platform.
func (f *Fleet) Close() {
	var closing sync.WaitGroup
	for _, b := range f.Instances() {
		closing.Go(b.Kill)
	}
	closing.Wait()
	for _, e := range f.Endpoints() {
		e.Close()
	}
	f.Requests.Close()
	f.Fabric.Close()
	f.InstanceList.Close()
	f.Store.Close()
}
