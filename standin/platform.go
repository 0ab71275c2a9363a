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
	maxValueBytes  = 1 << 20     // limit for a published value
	maxWatchWait   = time.Minute // limit for one watch call
)

// Platform is a test double of the configuration service and the host list.
// Set the exported fields before Run. All methods are safe for concurrent
// use; values may be published before Run.
type Platform struct {
	// Address is the "ip:port" address of the read API; empty means a free port
	// of 127.0.0.1.
	Address string
	// Admin is the "ip:port" address of the admin API; empty disables it.
	Admin string
	// Lag delays each change of the host list for readers.
	Lag time.Duration

	calls         atomic.Uint64
	initOnce      sync.Once
	readyOnce     sync.Once
	ready         chan struct{}
	mu            sync.Mutex
	readListener  net.Listener
	adminListener net.Listener
	state         platformState
}

// Run serves until ctx ends.
func (p *Platform) Run(ctx context.Context) error {
	p.init()
	if err := p.listen(ctx); err != nil {
		return err
	}
	servers := []*server{serve(p.readListener, p.readHandler())}
	if p.adminListener != nil {
		servers = append(servers, serve(p.adminListener, p.adminHandler()))
	}
	p.readyOnce.Do(func() { close(p.ready) })
	err := waitForServers(ctx, servers)
	p.state.close()
	shutdown(servers)
	return err
}

// Ready is closed when both APIs listen.
func (p *Platform) Ready() <-chan struct{} {
	p.init()
	return p.ready
}

// Addr returns the bound "ip:port" address of the read API; empty before Ready.
func (p *Platform) Addr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return listenerAddr(p.readListener)
}

// AdminAddr returns the bound "ip:port" address of the admin API. It is empty
// before Ready and if the admin API is disabled.
func (p *Platform) AdminAddr() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return listenerAddr(p.adminListener)
}

// Publish stores a new value of key and returns its version.
func (p *Platform) Publish(key string, data []byte) magnoliashore.Version {
	p.init()
	return p.state.publish(key, data)
}

// SetHosts replaces the host list; readers get the new one after Lag.
func (p *Platform) SetHosts(live, leaving []string) {
	p.init()
	p.state.setHosts(live, leaving, time.Now().Add(p.Lag))
}

// SetHost moves a name to the live or the leaving list, or removes it from both;
// readers get the new lists after Lag.
func (p *Platform) SetHost(name string, state HostState) {
	p.init()
	p.state.setHost(name, state, time.Now().Add(p.Lag))
}

// SetMode sets which version the platform serves, if any.
func (p *Platform) SetMode(mode Mode) {
	p.init()
	p.state.setMode(mode)
}

// Calls returns the number of calls to the read API; a waiting watch counts as
// one.
func (p *Platform) Calls() uint64 { return p.calls.Load() }

func (p *Platform) init() {
	p.initOnce.Do(func() {
		p.ready = make(chan struct{})
		p.state.init()
	})
}

func (p *Platform) listen(ctx context.Context) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var err error
	if p.readListener, err = listen(ctx, p.Address); err != nil {
		return err
	}
	if p.Admin == "" {
		return nil
	}
	if p.adminListener, err = listen(ctx, p.Admin); err != nil {
		_ = p.readListener.Close()
		return err
	}
	return nil
}
