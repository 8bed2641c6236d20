package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"carawaycart"
	"carawaycart/internal/admin"
	"carawaycart/internal/standin"
	"carawaycart/io/platform"
)

const (
	portsPerInstance = 10                     // ports reserved for an external instance
	checkInterval    = 500 * time.Millisecond // time between health checks of an instance
	checkTimeout     = 200 * time.Millisecond // timeout of a health check
)

// ExternalInstance is an instance that runs outside this process. Fabric, Request,
// Peer and Operator are its listen addresses.
type ExternalInstance struct {
	ID       carawaycart.InstanceID
	Zone     carawaycart.ZoneID
	Fabric   netip.AddrPort
	Request  netip.AddrPort
	Peer     netip.AddrPort
	Operator netip.AddrPort
}

// ExternalInstances returns n instances of a site on loopback. Instance i listens
// on ports from port+i*portsPerInstance.
func ExternalInstances(site standin.Site, n, port int) []ExternalInstance {
	instances := make([]ExternalInstance, n)
	for i := range instances {
		z := site.Zones[i%len(site.Zones)]
		addressAt := func(offset int) netip.AddrPort {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port+i*portsPerInstance+offset))
		}
		instances[i] = ExternalInstance{
			ID: standin.InstanceName(z, i/len(site.Zones)), Zone: z, Fabric: addressAt(0), Request: addressAt(1), Peer: addressAt(2), Operator: addressAt(3),
		}
	}
	return instances
}

// Environment runs the emulated systems and the load for external instances.
type Environment struct {
	demo      *Demo
	instances []ExternalInstance
	reachable map[carawaycart.InstanceID]bool // results of the latest health checks
}

// NewEnvironment starts the emulated systems of a site and writes its
// configuration.
func NewEnvironment(ctx context.Context, site standin.Site, instances []ExternalInstance) (*Environment, error) {
	options := DefaultOptions(site)
	d, err := newDemo(options)
	if err != nil {
		return nil, err
	}
	if _, err := d.configure(ctx); err != nil {
		d.fleet.Close()
		return nil, err
	}
	return &Environment{demo: d, instances: instances, reachable: make(map[carawaycart.InstanceID]bool)}, nil
}

// newDemo returns a demo with a running platform and no endpoints or instances.
func newDemo(o Options) (*Demo, error) {
	fleet, err := NewFleet(o.Site.Main.ID, o.Seed)
	if err != nil {
		return nil, err
	}
	clock := carawaycart.NewSystemClock()
	log := platform.NewChangeLog(platform.NewStore(fleet.Store.URL(), nil), clock)
	d := &Demo{
		options: o, fleet: fleet, start: time.Now(),
		admin:            admin.NewAdmin(log, operatorName, clock),
		random:           newRandom(o.Seed),
		highestRevisions: make(map[carawaycart.InstanceID]carawaycart.Revision),
	}
	d.report.Seed, d.report.Site = o.Seed, o.Site.Name
	return d, nil
}

// Instances returns the external instances.
func (e *Environment) Instances() []ExternalInstance { return e.instances }

// StoreURL returns the base URL of the store.
func (e *Environment) StoreURL() string { return e.demo.fleet.Store.URL() }

// Settings returns the content of an instance's settings file.
func (e *Environment) Settings(i ExternalInstance) string {
	return fmt.Sprintf("[instance]\nid = %s\nzone = %s\n\n[listen]\nfabric = %s\nrequest = %s\npeer = %s\noperator = %s\n\n"+
		"[platform]\nstore = %s\nlist = %s\n",
		i.ID, i.Zone, i.Fabric, i.Request, i.Peer, i.Operator, e.demo.fleet.Store.URL(), e.demo.fleet.InstanceList.URL())
}

// Run generates load until ctx ends, and returns when all callers have returned.
func (e *Environment) Run(ctx context.Context) {
	e.demo.startLoad(ctx)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		e.updateTargets()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	e.demo.callers.Wait()
}

// updateTargets adds instances that accept connections to the fabric, the callers
// and the instance list, and removes the others, as the platform's health checks
// do.
func (e *Environment) updateTargets() {
	f := e.demo.fleet
	for _, i := range e.instances {
		reachable := acceptsConnections(i.Request)
		switch {
		case reachable && !e.reachable[i.ID]:
			f.InstanceList.Add(carawaycart.ListedInstance{ID: i.ID, Zone: i.Zone, PeerAddress: i.Peer})
			f.Fabric.Add(i.ID, i.Fabric)
			f.Requests.Add(standin.RequestTarget{ID: i.ID, Address: i.Request})
		case !reachable && e.reachable[i.ID]:
			f.InstanceList.Remove(i.ID)
			f.Fabric.Remove(i.ID)
			f.Requests.Remove(i.ID)
		}
		e.reachable[i.ID] = reachable
	}
}

// acceptsConnections reports whether a TCP connection to address succeeds within
// checkTimeout.
func acceptsConnections(address netip.AddrPort) bool {
	conn, err := net.DialTimeout("tcp", address.String(), checkTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Report writes the report of the observed events to w.
func (e *Environment) Report(w io.Writer) error {
	e.demo.completeReport()
	return e.demo.report.Write(w)
}

// Close stops the emulated systems.
func (e *Environment) Close() { e.demo.fleet.Close() }
