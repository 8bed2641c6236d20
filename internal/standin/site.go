package standin

import (
	"fmt"
	"net/netip"

	"github.com/juju/errors"

	"carawaycart"
)

// Site describes one customer's installation at its current size.
type Site struct {
	Name      string
	Zones     []carawaycart.ZoneID
	Instances int         // number of instances in all zones
	Main      SiteService // service of feeds and keyed requests
	Intake    SiteService // service of uploads
}

// SiteService describes one service of a site.
type SiteService struct {
	ID            carawaycart.ServiceID
	Address       netip.AddrPort
	EndpointCount int
	MaxFlows      int // maximum number of established flows of each endpoint
	RequestSlots  int // maximum number of concurrent requests of each endpoint
}

// Sites returns the installations of both customers.
func Sites() []Site {
	return []Site{
		{
			Name: "froepapir", Zones: []carawaycart.ZoneID{"bergen-a", "bergen-b", "voss", "stord"}, Instances: 16,
			Main:   SiteService{ID: "pressdesk", Address: netip.MustParseAddrPort("192.0.2.1:443"), EndpointCount: 14, MaxFlows: 4200, RequestSlots: 2},
			Intake: SiteService{ID: "artintake", Address: netip.MustParseAddrPort("192.0.2.2:443"), EndpointCount: 4, MaxFlows: 4200, RequestSlots: 2},
		},
		{
			Name: "brunnhalder", Zones: []carawaycart.ZoneID{"ch-ost-a", "ch-ost-b", "ch-ost-c", "ch-ost-d"}, Instances: 16,
			Main:   SiteService{ID: "werkstatt-board", Address: netip.MustParseAddrPort("192.0.2.1:443"), EndpointCount: 14, MaxFlows: 4000, RequestSlots: 2},
			Intake: SiteService{ID: "hof-inspektion", Address: netip.MustParseAddrPort("192.0.2.2:443"), EndpointCount: 4, MaxFlows: 4000, RequestSlots: 2},
		},
	}
}

// SiteByName returns the named site, or a NotFound error if there is none.
func SiteByName(name string) (Site, error) {
	for _, s := range Sites() {
		if s.Name == name {
			return s, nil
		}
	}
	return Site{}, errors.NotFoundf("site %q (want froepapir or brunnhalder)", name)
}

// EndpointName returns the ID of the endpoint with zero-based index i of a service.
func EndpointName(s carawaycart.ServiceID, i int) carawaycart.EndpointID {
	return carawaycart.EndpointID(fmt.Sprintf("%s-%02d", s, i+1))
}

// InstanceName returns the ID of the instance with zero-based index i in a zone.
func InstanceName(z carawaycart.ZoneID, i int) carawaycart.InstanceID {
	return carawaycart.InstanceID(fmt.Sprintf("%s-lb%02d", z, i+1))
}
