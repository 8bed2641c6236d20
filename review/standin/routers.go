package main

import (
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	readyPeriod = 500 * time.Millisecond
	readyMisses = 2
)

// routers stand in for the platform's routers.
type routers struct {
	conn *net.UDPConn

	mu    sync.Mutex
	nodes []*node
}

// node is an instance as the routers see it.
type node struct {
	name, zone string
	packets    netip.AddrPort
	readyURL   string
	misses     int
	wasReady   bool
}

func newRouters(addr netip.AddrPort) (*routers, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return &routers{conn: conn}, nil
}

func (r *routers) add(n *node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.misses = readyMisses
	r.nodes = append(r.nodes, n)
}

// check asks one node twice a second whether it is ready, until stop is closed.
func (r *routers) check(n *node, w *world) {
	client := &http.Client{Timeout: readyPeriod, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		began := time.Now()
		response, err := client.Get(n.readyURL)
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		r.mu.Lock()
		if n.misses++; ok {
			n.misses = 0
		}
		if ready := n.misses < readyMisses; ready != n.wasReady {
			n.wasReady = ready
			w.record.event("rotation", "%s in rotation=%v", n.name, ready)
		}
		r.mu.Unlock()
		select {
		case <-w.stop:
			return
		case <-time.After(readyPeriod - min(time.Since(began), readyPeriod)):
		}
	}
}

func (r *routers) ready() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, i := range r.nodes {
		if i.misses < readyMisses {
			n++
		}
	}
	return n
}

// send forwards a requester's packet to a node of its zone, by a steady hash of the flow.
func (r *routers) send(zone string, p *packet) {
	if n := r.choose(zone, p); n != nil {
		_, _ = r.conn.WriteToUDPAddrPort(p.encode(), n.packets)
	}
}

func (r *routers) choose(zone string, p *packet) *node {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, ready, remote []*node
	for _, n := range r.nodes {
		isReady := n.misses < readyMisses
		switch {
		case n.zone == zone:
			all = append(all, n)
			if isReady {
				ready = append(ready, n)
			}
		case isReady:
			remote = append(remote, n)
		}
	}
	from := ready
	if len(ready) == 0 {
		from = remote
	} else if 2*len(ready) < len(all) {
		from = all
	}
	var best *node
	var bestScore uint64
	for _, n := range from {
		h := fnv.New64a()
		_, _ = h.Write([]byte(n.name + p.src.String() + p.dst.String()))
		score := h.Sum64()
		score ^= score >> 33
		score *= 0xff51afd7ed558ccd
		score ^= score >> 33
		if best == nil || score > bestScore {
			best, bestScore = n, score
		}
	}
	return best
}
