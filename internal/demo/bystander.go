package demo

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"carawaycart"
	"carawaycart/internal/admin"
	"carawaycart/internal/standin"
	"carawaycart/io/platform"
)

// portsPerInstance is how many ports an external instance takes.
const portsPerInstance = 10

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

// Bystander runs the stand-ins and their load for external instances.
type Bystander struct {
	demo      *Demo
	instances []ExternalInstance
}

// NewBystander starts the stand-ins of a site and writes its configuration.
func NewBystander(ctx context.Context, site standin.Site, instances []ExternalInstance) (*Bystander, error) {
	options := DefaultOptions(site)
	d, err := newDemo(options)
	if err != nil {
		return nil, err
	}
	if _, err := d.configure(ctx); err != nil {
		d.fleet.Close()
		return nil, err
	}
	for _, i := range instances {
		d.fleet.List.Add(carawaycart.ListedInstance{ID: i.ID, Zone: i.Zone, PeerAddress: i.Peer})
		d.fleet.Fabric.Add(i.ID, i.Fabric)
		d.fleet.Orders.Add(standin.OrderTarget{ID: i.ID, Address: i.Request})
	}
	return &Bystander{demo: d, instances: instances}, nil
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
func (b *Bystander) Instances() []ExternalInstance { return b.instances }

// StoreURL returns the address of the store.
func (b *Bystander) StoreURL() string { return b.demo.fleet.Store.URL() }

// Settings returns the text of an instance's settings file.
func (b *Bystander) Settings(i ExternalInstance) string {
	return fmt.Sprintf("[instance]\nid = %s\nzone = %s\n\n[listen]\nfabric = %s\nrequest = %s\npeer = %s\noperator = %s\n\n"+
		"[platform]\nstore = %s\nlist = %s\n",
		i.ID, i.Zone, i.Fabric, i.Request, i.Peer, i.Operator, b.demo.fleet.Store.URL(), b.demo.fleet.List.URL())
}

// Run keeps the load going until ctx ends.
func (b *Bystander) Run(ctx context.Context) {
	b.demo.startLoad(ctx)
	b.demo.callers.Wait()
}

// Report writes what the stand-ins saw.
func (b *Bystander) Report(w io.Writer) error {
	b.demo.finish()
	return b.demo.report.Write(w)
}

// Close stops the stand-ins.
func (b *Bystander) Close() { b.demo.fleet.Close() }
