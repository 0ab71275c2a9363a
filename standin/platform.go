package standin

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

const (
	defaultAddress = "127.0.0.1:0"
	maxValue       = 1 << 20     // bytes of a published value
	maxHeld        = time.Minute // longest hold of one call of a watch
)

// Platform stands in for the users' configuration service and host list.
// Set the exported fields before Run. All methods are safe for concurrent
// use; values may be published before Run.
type Platform struct {
	// Address is the "ip:port" address of the read side; empty means a free
	// port of 127.0.0.1.
	Address string
	// Admin is the "ip:port" address of the operator's side; empty means that
	// there is none.
	Admin string
	// Lag is how long a new host list stays hidden.
	Lag time.Duration

	calls   atomic.Uint64
	once    sync.Once
	started sync.Once
	ready   chan struct{}
	mu      sync.Mutex
	read    net.Listener
	admin   net.Listener
	state   platformState
}

// Run serves until ctx ends.
func (p *Platform) Run(ctx context.Context) error {
	p.init()
	if err := p.listen(ctx); err != nil {
		return err
	}
	servers := []*server{serve(p.read, p.readHandler())}
	if p.admin != nil {
		servers = append(servers, serve(p.admin, p.adminHandler()))
	}
	p.started.Do(func() { close(p.ready) })
	err := wait(ctx, servers)
	p.state.end()
	stop(servers)
	return err
}

// Ready is closed when both sides listen.
func (p *Platform) Ready() <-chan struct{} {
	p.init()
	return p.ready
}

// Addr returns the bound "ip:port" address of the read side; empty before
// Ready.
func (p *Platform) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return address(p.read)
}

// AdminAddr returns the bound "ip:port" address of the operator's side; empty
// if there is none.
func (p *Platform) AdminAddr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return address(p.admin)
}

// Publish adds a value of key and returns its version.
func (p *Platform) Publish(key string, data []byte) magnoliashore.Version {
	p.init()
	return p.state.publish(key, data)
}

// SetHosts replaces the list of hosts; readers see it after Lag.
func (p *Platform) SetHosts(live, leaving []string) {
	p.init()
	p.state.setHosts(live, leaving, time.Now().Add(p.Lag))
}

// SetHost puts one name into the list of live or of leaving hosts, or takes
// it out of both; readers see it after Lag.
func (p *Platform) SetHost(name string, state HostState) {
	p.init()
	p.state.setHost(name, state, time.Now().Add(p.Lag))
}

// SetMode sets how the platform answers from now on.
func (p *Platform) SetMode(mode Mode) {
	p.init()
	p.state.setMode(mode)
}

// Calls returns how many calls the read side received; a held watch is one.
func (p *Platform) Calls() uint64 { return p.calls.Load() }

func (p *Platform) init() {
	p.once.Do(func() {
		p.ready = make(chan struct{})
		p.state.init()
	})
}

func (p *Platform) listen(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	if p.read, err = listen(ctx, p.Address); err != nil {
		return err
	}
	if p.Admin == "" {
		return nil
	}
	if p.admin, err = listen(ctx, p.Admin); err != nil {
		_ = p.read.Close()
		return err
	}
	return nil
}
