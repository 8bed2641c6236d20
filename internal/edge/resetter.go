package edge

import (
	"net"
	"net/netip"

	"carawaycart"
	"carawaycart/internal/eventlog"
	"carawaycart/platform"
)

// resetter sends resets to callers whose packets do not cause them.
type resetter struct {
	conn     *net.UDPConn
	port     uint16 // fabric port of callers
	counters *Counters
	log      *eventlog.Log
}

// reset resets the flow of each packet because its endpoint is silent.
func (r *resetter) reset(packets []carawaycart.Packet) {
	b := make([]byte, platform.MaxPacketBytes)
	for i := range packets {
		p := &packets[i]
		n := platform.PutReset(b, p)
		if _, err := r.conn.WriteToUDPAddrPort(b[:n], netip.AddrPortFrom(p.Key.Caller.Addr(), r.port)); err != nil {
			r.log.Event("resetFailed").Flow(&p.Key).Err(err).End()
			continue
		}
		r.counters.CountReset(carawaycart.CauseSilent)
	}
}
