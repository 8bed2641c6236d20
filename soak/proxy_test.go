package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// mode determines how a proxy treats traffic.
type mode int

const (
	modeForward      mode = iota
	modeDelay             // traffic in both directions is delayed by proxyDelay
	modeReset             // connections are reset, datagrams dropped
	modeDropRequests      // traffic to the target is dropped
	modeDropReplies       // traffic from the target is dropped
	modeDropAll           // traffic in both directions is dropped
	modeCount             // number of modes
)

// proxyDelay is the delay of each read or datagram in modeDelay.
const proxyDelay = 120 * time.Millisecond

// proxy forwards TCP connections to a target, and UDP datagrams in the direction
// of the target only.
type proxy struct {
	listener net.Listener
	udpConn  *net.UDPConn
	target   string
	done     sync.WaitGroup

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool // open connections to callers and to the target
}

// newProxy starts a proxy that forwards traffic from listen to target.
func newProxy(listen, target netip.AddrPort) (*proxy, error) {
	p := &proxy{target: target.String(), conns: make(map[net.Conn]bool)}
	var err error
	if p.listener, err = net.Listen("tcp", listen.String()); err != nil {
		return nil, err
	}
	if p.udpConn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen)); err != nil {
		return nil, err
	}
	p.done.Go(p.accept)
	p.done.Go(func() { p.relayDatagrams(net.UDPAddrFromAddrPort(target)) })
	return p, nil
}

func (p *proxy) close() {
	_ = p.listener.Close()
	_ = p.udpConn.Close()
	p.setMode(modeReset)
	p.done.Wait()
}

// setMode changes the mode. modeReset also resets all open connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeReset {
		for c := range p.conns {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// track adds c to the open connections, or removes it if open is false.
func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// relayDatagrams forwards datagrams to target until the socket is closed.
func (p *proxy) relayDatagrams(target *net.UDPAddr) {
	buf := make([]byte, 2048)
	for {
		n, _, err := p.udpConn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		data := append([]byte(nil), buf[:n]...)
		switch p.currentMode() {
		case modeForward, modeDropReplies:
			_, _ = p.udpConn.WriteToUDP(data, target)
		case modeDelay:
			time.AfterFunc(proxyDelay, func() { _, _ = p.udpConn.WriteToUDP(data, target) })
		default:
		}
	}
}

// accept forwards connections to the target until the listener is closed.
func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == modeReset {
			_ = client.(*net.TCPConn).SetLinger(0)
			_ = client.Close()
			continue
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.track(client, true)
		p.track(server, true)
		p.done.Go(func() { p.copyStream(server, client, modeDropRequests) })
		p.done.Go(func() { p.copyStream(client, server, modeDropReplies) })
	}
}

// copyStream copies data from src to dst until either is closed. It discards the
// data that it reads in modeDropAll or in dropMode, the mode that drops traffic in
// this direction.
func (p *proxy) copyStream(dst, src net.Conn, dropMode mode) {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
		p.track(src, false)
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		switch m := p.currentMode(); m {
		case modeDelay:
			time.Sleep(proxyDelay)
		case modeDropAll, dropMode:
			continue
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}
