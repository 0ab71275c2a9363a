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

// Trouble is what a proxy does to the connections that pass it.
type Trouble struct {
	Delay   time.Duration // of each piece of data
	Refuse  bool          // new connections are closed at once
	Silence bool          // nothing passes towards the caller; the connection stays open
	Cut     bool          // nothing passes in either direction; the connection stays open
	Reset   bool          // open connections are reset when the trouble begins
}

// Proxy passes connections on to one address and troubles them.
type Proxy struct {
	target    string
	listener  net.Listener
	datagrams *net.UDPConn // nil if the proxy passes on connections only

	mu      sync.Mutex
	trouble Trouble
	open    map[*net.TCPConn]bool
}

// NewProxy starts a proxy before an ip:port.
func NewProxy(target string) (*Proxy, error) { return newProxy("127.0.0.1:0", target) }

func newProxy(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, open: make(map[*net.TCPConn]bool)}
	go p.accept()
	return p, nil
}

// NewPeerProxy starts a proxy at the ip:port of a host that others know, and
// passes connections and datagrams on to where the host listens.
func NewPeerProxy(address, target string) (*Proxy, error) {
	p, err := newProxy(address, target)
	if err != nil {
		return nil, err
	}
	from, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	to, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, err
	}
	if p.datagrams, err = net.ListenUDP("udp4", from); err != nil {
		return nil, err
	}
	go p.forward(to.AddrPort())
	return p, nil
}

// forward passes datagrams on. Hosts answer to the address in a datagram, so
// nothing has to pass back.
func (p *Proxy) forward(to netip.AddrPort) {
	buffer := make([]byte, 8<<10)
	for {
		n, err := p.datagrams.Read(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		t := p.state()
		if err != nil || t.Cut || t.Refuse {
			continue
		}
		if t.Delay > 0 {
			clock.Sleep(time.Duration(rand.Int64N(int64(t.Delay))))
		}
		_, _ = p.datagrams.WriteToUDPAddrPort(buffer[:n], to) // the host may be down
	}
}

// Address returns the proxy's ip:port.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set begins a trouble; the zero Trouble ends it.
func (p *Proxy) Set(t Trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trouble = t
	if !t.Reset {
		return
	}
	for c := range p.open {
		reset(c)
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	if p.datagrams != nil {
		_ = p.datagrams.Close()
	}
	p.Set(Trouble{Reset: true})
}

// reset closes a connection so that the other side sees a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *Proxy) state() Trouble {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.trouble
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
		if p.state().Refuse {
			reset(caller)
			continue
		}
		go p.carry(caller)
	}
}

func (p *Proxy) carry(caller *net.TCPConn) {
	c, err := net.DialTimeout("tcp4", p.target, time.Second)
	target, ok := c.(*net.TCPConn)
	if err != nil || !ok {
		reset(caller)
		return
	}
	p.mu.Lock()
	p.open[caller], p.open[target] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(target, caller, false) })
	both.Go(func() { p.pump(caller, target, true) })
	both.Wait()
	p.mu.Lock()
	delete(p.open, caller)
	delete(p.open, target)
	p.mu.Unlock()
	_ = caller.Close()
	_ = target.Close()
}

// pump moves data in one direction until it ends.
func (p *Proxy) pump(to, from *net.TCPConn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		t := p.state()
		if t.Delay > 0 {
			clock.Sleep(time.Duration(rand.Int64N(int64(t.Delay))))
		}
		if n > 0 && !t.Cut && (!back || !t.Silence) {
			if _, e := to.Write(buffer[:n]); e != nil {
				err = e
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			reset(to)
			return
		}
	}
}
