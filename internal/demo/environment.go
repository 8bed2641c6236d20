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
	portsPerInstance = 10 // ports that an external instance takes
	checkPeriod      = 500 * time.Millisecond
	checkTimeout     = 200 * time.Millisecond
)

// ExternalInstance is an instance that somebody else starts.
type ExternalInstance struct {
	ID       carawaycart.InstanceID
	Zone     carawaycart.ZoneID
	Fabric   netip.AddrPort
	Request  netip.AddrPort
	Peer     netip.AddrPort
	Operator netip.AddrPort
}

// ExternalInstances returns n instances of a site on loopback with consecutive
// ports from port on.
func ExternalInstances(site standin.Site, n, port int) []ExternalInstance {
	instances := make([]ExternalInstance, n)
	for i := range instances {
		z := site.Zones[i%len(site.Zones)]
		at := func(offset int) netip.AddrPort {
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port+i*portsPerInstance+offset))
		}
		instances[i] = ExternalInstance{
			ID: standin.InstanceName(z, i/len(site.Zones)), Zone: z, Fabric: at(0), Request: at(1), Peer: at(2), Operator: at(3),
		}
	}
	return instances
}

// Environment runs the stand-ins and their load for external instances.
type Environment struct {
	demo      *Demo
	instances []ExternalInstance
	up        map[carawaycart.InstanceID]bool
}

// NewEnvironment starts the stand-ins of a site and writes its configuration.
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
	return &Environment{demo: d, instances: instances, up: make(map[carawaycart.InstanceID]bool)}, nil
}

// newDemo returns a demo whose stand-ins run, without hosts or instances.
func newDemo(o Options) (*Demo, error) {
	fleet, err := NewFleet(o.Site.Main.ID, o.Seed)
	if err != nil {
		return nil, err
	}
	clock := carawaycart.NewSystemClock()
	log := platform.NewChangeLog(platform.NewStore(fleet.Store.URL(), nil), clock)
	d := &Demo{
		options: o, fleet: fleet, start: time.Now(),
		admin:   admin.NewAdmin(log, operatorName, clock),
		random:  newRandom(o.Seed),
		highest: make(map[carawaycart.InstanceID]carawaycart.Revision),
	}
	d.report.Seed, d.report.Site = o.Seed, o.Site.Name
	return d, nil
}

// Instances returns the external instances.
func (e *Environment) Instances() []ExternalInstance { return e.instances }

// StoreURL returns the address of the store.
func (e *Environment) StoreURL() string { return e.demo.fleet.Store.URL() }

// Settings returns the text of an instance's settings file.
func (e *Environment) Settings(i ExternalInstance) string {
	return fmt.Sprintf("[instance]\nid = %s\nzone = %s\n\n[listen]\nfabric = %s\nrequest = %s\npeer = %s\noperator = %s\n\n"+
		"[platform]\nstore = %s\nlist = %s\n",
		i.ID, i.Zone, i.Fabric, i.Request, i.Peer, i.Operator, e.demo.fleet.Store.URL(), e.demo.fleet.List.URL())
}

// Run keeps the load going until ctx ends.
func (e *Environment) Run(ctx context.Context) {
	e.demo.startLoad(ctx)
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		e.check()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	e.demo.callers.Wait()
}

// check lets the fabric, callers and the list use the instances that accept
// connections, as the platform's health checks would.
func (e *Environment) check() {
	f := e.demo.fleet
	for _, i := range e.instances {
		up := accepts(i.Request)
		switch {
		case up && !e.up[i.ID]:
			f.List.Add(carawaycart.ListedInstance{ID: i.ID, Zone: i.Zone, PeerAddress: i.Peer})
			f.Fabric.Add(i.ID, i.Fabric)
			f.Orders.Add(standin.OrderTarget{ID: i.ID, Address: i.Request})
		case !up && e.up[i.ID]:
			f.List.Remove(i.ID)
			f.Fabric.Remove(i.ID)
			f.Orders.Remove(i.ID)
		}
		e.up[i.ID] = up
	}
}

func accepts(address netip.AddrPort) bool {
	conn, err := net.DialTimeout("tcp", address.String(), checkTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// Report writes what the stand-ins saw.
func (e *Environment) Report(w io.Writer) error {
	e.demo.finish()
	return e.demo.report.Write(w)
}

// Close stops the stand-ins.
func (e *Environment) Close() { e.demo.fleet.Close() }
