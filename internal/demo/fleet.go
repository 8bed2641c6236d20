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
	loopback   = "127.0.0.1:0"
	listLag    = time.Second
	sprayLag   = time.Second // until the fabric notices that an instance failed
	meterCycle = time.Second
)

// Fleet is a set of instances before one platform and one set of hosts.
type Fleet struct {
	Store  *standin.Store
	List   *standin.List
	Fabric *standin.Fabric
	Ledger *standin.Ledger
	Orders *standin.OrderCaller

	mu        sync.Mutex
	instances map[carawaycart.InstanceID]*balancer.Balancer
	hosts     map[carawaycart.EndpointID]*standin.Host
	meters    map[carawaycart.InstanceID]*meter
}

// meter follows the control bytes of one instance.
type meter struct {
	since time.Time
	start int64 // bytes before the measurement
	bytes int64
	peak  float64
	last  int64
}

// NewFleet returns a fleet without instances or hosts whose orders go to service.
func NewFleet(service carawaycart.ServiceID, seed uint64) (*Fleet, error) {
	f := &Fleet{
		Ledger:    standin.NewLedger(),
		instances: make(map[carawaycart.InstanceID]*balancer.Balancer),
		hosts:     make(map[carawaycart.EndpointID]*standin.Host),
		meters:    make(map[carawaycart.InstanceID]*meter),
	}
	var err error
	if f.Store, err = standin.NewStore(loopback); err != nil {
		return nil, err
	}
	if f.List, err = standin.NewList(loopback, listLag); err != nil {
		return nil, err
	}
	if f.Fabric, err = standin.NewFabric(loopback, seed); err != nil {
		return nil, err
	}
	f.Orders = standin.NewOrderCaller(service, f.Ledger, seed)
	return f, nil
}

// AddHost starts a host.
func (f *Fleet) AddHost(c standin.HostConfig) (*standin.Host, error) {
	h, err := standin.NewHost(c, loopback, f.Ledger, f.Fabric)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[c.ID] = h
	return h, nil
}

// Hosts returns the hosts by endpoint.
func (f *Fleet) Hosts() map[carawaycart.EndpointID]*standin.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	hosts := make(map[carawaycart.EndpointID]*standin.Host, len(f.hosts))
	for id, h := range f.hosts {
		hosts[id] = h
	}
	return hosts
}

// ZoneOf returns the availability zone of a host.
func (f *Fleet) ZoneOf(id carawaycart.EndpointID) carawaycart.ZoneID {
	f.mu.Lock()
	defer f.mu.Unlock()
	if h := f.hosts[id]; h != nil {
		return h.Zone()
	}
	return ""
}

// AddInstance starts an instance and lists it.
func (f *Fleet) AddInstance(id carawaycart.InstanceID, zone carawaycart.ZoneID) error {
	address := netip.MustParseAddrPort(loopback)
	s := settings.Settings{
		ID: id, Zone: zone, Fabric: address, Request: address, Peer: address, Operator: address,
		Store: f.Store.URL(), List: f.List.URL(), FabricThreads: 1,
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
	f.meters[id] = &meter{since: time.Now()}
	f.mu.Unlock()
	f.List.Add(carawaycart.ListedInstance{ID: id, Zone: zone, PeerAddress: b.PeerAddress()})
	return nil
}

// Open lets the fabric and callers use an instance.
func (f *Fleet) Open(id carawaycart.InstanceID) {
	f.mu.Lock()
	b := f.instances[id]
	f.mu.Unlock()
	f.Fabric.Add(id, b.FabricAddress())
	f.Orders.Add(standin.OrderTarget{ID: id, Address: b.RequestAddress()})
}

// Instances returns the running instances.
func (f *Fleet) Instances() map[carawaycart.InstanceID]*balancer.Balancer {
	f.mu.Lock()
	defer f.mu.Unlock()
	instances := make(map[carawaycart.InstanceID]*balancer.Balancer, len(f.instances))
	for id, b := range f.instances {
		instances[id] = b
	}
	return instances
}

func (f *Fleet) take(id carawaycart.InstanceID) *balancer.Balancer {
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.instances[id]
	f.measureLocked(id, b)
	delete(f.instances, id)
	return b
}

// Kill ends an instance without warning; the fabric, callers and the list
// notice only later.
func (f *Fleet) Kill(id carawaycart.InstanceID) {
	f.take(id).Kill()
	f.Orders.Remove(id)
	f.List.Remove(id)
	time.AfterFunc(sprayLag, func() { f.Fabric.Remove(id) })
}

// Stop ends an instance as planned: the fabric and callers are told first.
func (f *Fleet) Stop(ctx context.Context, id carawaycart.InstanceID) error {
	f.Orders.Stopping(id)
	f.List.Remove(id)
	b := f.take(id)
	f.Fabric.Remove(id)
	err := b.Stop(ctx)
	f.Orders.Remove(id)
	return err
}

// AwaitReady waits until all instances are ready and run revision r.
func (f *Fleet) AwaitReady(ctx context.Context, r carawaycart.Revision) error {
	return f.await(ctx, func(b *balancer.Balancer) bool { return b.Ready() && b.Board.Revision() >= r })
}

// AwaitRevision waits until all instances that are ready run revision r.
func (f *Fleet) AwaitRevision(ctx context.Context, r carawaycart.Revision) error {
	return f.await(ctx, func(b *balancer.Balancer) bool { return b.Board.Revision() >= r })
}

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

// Measure follows the control bytes of the instances until ctx ends. What the
// running instances sent before does not count; what later ones send to join does.
func (f *Fleet) Measure(ctx context.Context) {
	f.mu.Lock()
	for id, b := range f.instances {
		sent := b.Counters.ControlBytes.Count()
		f.meters[id] = &meter{since: time.Now(), start: sent, bytes: sent, last: sent}
	}
	f.mu.Unlock()
	ticker := time.NewTicker(meterCycle)
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

func (f *Fleet) measureLocked(id carawaycart.InstanceID, b *balancer.Balancer) {
	m := f.meters[id]
	m.bytes = b.Counters.ControlBytes.Count()
	m.peak = max(m.peak, float64(m.bytes-m.last)/meterCycle.Seconds())
	m.last = m.bytes
}

// minMeasured is the shortest life over which a rate is stated.
const minMeasured = 5 * time.Second

// ControlBytes returns the highest mean of the instances' control bytes per
// second, and the highest of one second.
func (f *Fleet) ControlBytes() (mean, peak float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.meters {
		if life := time.Since(m.since); life >= minMeasured {
			mean = max(mean, float64(m.bytes-m.start)/life.Seconds())
		}
		peak = max(peak, m.peak)
	}
	return mean, peak
}

// ControlCalls returns the control bytes of all instances by call.
func (f *Fleet) ControlCalls() map[string]int64 {
	calls := make(map[string]int64)
	for _, b := range f.Instances() {
		for method, bytes := range b.Counters.BytesByCall() {
			calls[method] += bytes
		}
	}
	return calls
}

// Close ends everything.
func (f *Fleet) Close() {
	var closing sync.WaitGroup
	for _, b := range f.Instances() {
		closing.Go(b.Kill)
	}
	closing.Wait()
	for _, h := range f.Hosts() {
		h.Close()
	}
	f.Orders.Close()
	f.Fabric.Close()
	f.List.Close()
	f.Store.Close()
}
