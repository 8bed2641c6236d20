package soak

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// mode is what a proxy does to what passes.
type mode int

const (
	modePass mode = iota
	modeDelay
	modeReset  // connections break; datagrams are lost
	modeOneWay // nothing reaches the target
	modeBack   // nothing comes back from the target
	modeSilent // nothing passes
	modeCount
)

const proxyDelay = 120 * time.Millisecond

// proxy passes TCP, and UDP in one direction, on to a target.
type proxy struct {
	listener net.Listener
	conn     *net.UDPConn
	target   string
	done     sync.WaitGroup

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]bool
}

// newProxy passes what comes to listen on to target.
func newProxy(listen, target netip.AddrPort) (*proxy, error) {
	p := &proxy{target: target.String(), conns: make(map[net.Conn]bool)}
	var err error
	if p.listener, err = net.Listen("tcp", listen.String()); err != nil {
		return nil, err
	}
	if p.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen)); err != nil {
		return nil, err
	}
	p.done.Go(p.accept)
	p.done.Go(func() { p.relay(net.UDPAddrFromAddrPort(target)) })
	return p, nil
}

func (p *proxy) close() {
	_ = p.listener.Close()
	_ = p.conn.Close()
	p.set(modeReset)
	p.done.Wait()
}

func (p *proxy) set(m mode) {
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

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) keep(c net.Conn, kept bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if kept {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

func (p *proxy) relay(target *net.UDPAddr) {
	buf := make([]byte, 2048)
	for {
		n, _, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		data := append([]byte(nil), buf[:n]...)
		switch p.now() {
		case modePass, modeBack:
			_, _ = p.conn.WriteToUDP(data, target)
		case modeDelay:
			time.AfterFunc(proxyDelay, func() { _, _ = p.conn.WriteToUDP(data, target) })
		default:
		}
	}
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now() == modeReset {
			_ = client.(*net.TCPConn).SetLinger(0)
			_ = client.Close()
			continue
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.keep(client, true)
		p.keep(server, true)
		p.done.Go(func() { p.pump(server, client, modeOneWay) })
		p.done.Go(func() { p.pump(client, server, modeBack) })
	}
}

// pump copies from src to dst; what passes in a mode that cuts this direction is
// lost.
func (p *proxy) pump(dst, src net.Conn, cut mode) {
	defer func() {
		_ = dst.Close()
		_ = src.Close()
		p.keep(src, false)
	}()
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		switch m := p.now(); m {
		case modeDelay:
			time.Sleep(proxyDelay)
		case modeSilent, cut:
			continue
		}
		if _, err := dst.Write(buf[:n]); err != nil {
			return
		}
	}
}
