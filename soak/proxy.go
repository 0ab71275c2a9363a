package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// ConnFault describes how a proxy disturbs the connections through it. The zero
// value disturbs nothing.
type ConnFault struct {
	Delay       time.Duration // upper bound of the random delay of each read
	Refuse      bool          // new connections are reset and datagrams are dropped
	DropReplies bool          // data to the client is dropped; connections stay open
	DropAll     bool          // data in both directions is dropped; connections stay open
	ResetOpen   bool          // open connections are reset when the fault begins
}

// Proxy forwards connections to one address and can inject faults into them.
type Proxy struct {
	target   string
	listener net.Listener
	udp      *net.UDPConn // nil if the proxy forwards only connections

	mu     sync.Mutex
	fault  ConnFault
	conns  map[*net.TCPConn]bool
	silent map[*net.TCPConn]bool // those that forward nothing more
}

// NewProxy starts a proxy on a free loopback port that forwards to an ip:port.
func NewProxy(target string) (*Proxy, error) { return newProxy("127.0.0.1:0", target) }

func newProxy(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, conns: make(map[*net.TCPConn]bool), silent: make(map[*net.TCPConn]bool)}
	go p.accept()
	return p, nil
}

// NewPeerProxy starts a proxy at the ip:port that a host advertises to other
// hosts, and forwards connections and datagrams to the ip:port at which the host
// listens.
func NewPeerProxy(address, target string) (*Proxy, error) {
	p, err := newProxy(address, target)
	if err != nil {
		return nil, err
	}
	listenAddr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	targetAddr, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, err
	}
	if p.udp, err = net.ListenUDP("udp4", listenAddr); err != nil {
		return nil, err
	}
	go p.forwardDatagrams(targetAddr.AddrPort())
	return p, nil
}

// forwardDatagrams forwards datagrams to the target. Hosts reply to the address
// inside a datagram, so that no replies have to be forwarded.
func (p *Proxy) forwardDatagrams(target netip.AddrPort) {
	buffer := make([]byte, 8<<10)
	for {
		n, err := p.udp.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		fault := p.currentFault()
		if err != nil || fault.DropAll || fault.Refuse {
			continue
		}
		if fault.Delay > 0 {
			clock.Sleep(time.Duration(rand.Int64N(int64(fault.Delay))))
		}
		_, _ = p.udp.WriteToUDPAddrPort(buffer[:n], target) // the host may not be running
	}
}

// Address returns the proxy's ip:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault begins a fault; the zero ConnFault ends it.
func (p *Proxy) SetFault(fault ConnFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
	if !fault.ResetOpen {
		return
	}
	for c := range p.conns {
		reset(c)
	}
}

// Silence makes the open connections forward nothing more. They stay open, and new
// ones work.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.silent[c] = true
	}
}

func (p *Proxy) isSilent(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[c]
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	if p.udp != nil {
		_ = p.udp.Close()
	}
	p.SetFault(ConnFault{ResetOpen: true})
}

// reset closes a connection so that the other side sees a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *Proxy) currentFault() ConnFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		caller, ok := c.(*net.TCPConn)
		if err != nil || !ok {
			continue
		}
		if p.currentFault().Refuse {
			reset(caller)
			continue
		}
		go p.relay(caller)
	}
}

func (p *Proxy) relay(caller *net.TCPConn) {
	c, err := net.DialTimeout("tcp4", p.target, time.Second)
	target, ok := c.(*net.TCPConn)
	if err != nil || !ok {
		reset(caller)
		return
	}
	p.mu.Lock()
	p.conns[caller], p.conns[target] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copyData(target, caller, false) })
	wg.Go(func() { p.copyData(caller, target, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, target)
	delete(p.silent, caller)
	delete(p.silent, target)
	p.mu.Unlock()
	_ = caller.Close()
	_ = target.Close()
}

// copyData copies data in one direction until the source ends.
func (p *Proxy) copyData(dst, src *net.TCPConn, toCaller bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		fault := p.currentFault()
		if fault.Delay > 0 {
			clock.Sleep(time.Duration(rand.Int64N(int64(fault.Delay))))
		}
		if n > 0 && !p.isSilent(src) && !fault.DropAll && (!toCaller || !fault.DropReplies) {
			if _, e := dst.Write(buffer[:n]); e != nil {
				err = e
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = dst.CloseWrite()
			return
		case err != nil:
			reset(dst)
			return
		}
	}
}
