package operator

import (
	"net/netip"

	"github.com/juju/errors"

	"carawaycart"
)

// ParseFlow returns the key of the flow between caller and service, both addresses
// in the form IP:PORT. The protocol is "tcp", "udp" or empty for TCP. The error is
// NotValid if an argument is malformed.
func ParseFlow(protocol, caller, service string) (carawaycart.FlowKey, error) {
	var k carawaycart.FlowKey
	switch protocol {
	case "tcp", "":
		k.Protocol = carawaycart.TCP
	case "udp":
		k.Protocol = carawaycart.UDP
	default:
		return k, errors.NotValidf("protocol %q (want tcp or udp)", protocol)
	}
	var err error
	if k.Caller, err = netip.ParseAddrPort(caller); err != nil {
		return k, errors.NotValidf("caller %q (want IP:PORT)", caller)
	}
	if k.Service, err = netip.ParseAddrPort(service); err != nil {
		return k, errors.NotValidf("service %q (want IP:PORT)", service)
	}
	return k, nil
}
