package standin

import (
	"context"
	"net"
	"sync"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// Fleet runs many targets in one process with a shared admin API. Set the
// exported fields before Run.
type Fleet struct {
	// Targets are the targets to run.
	Targets []*Target
	// Admin is the "ip:port" address of the admin API; empty disables it.
	Admin string
	// PlatformAdmin is the "ip:port" address of the admin API of a Platform.
	// The fleet updates the host list there when targets start, drain or stop;
	// empty disables this.
	PlatformAdmin string

	initOnce      sync.Once
	ready         chan struct{}
	mu            sync.Mutex
	adminListener net.Listener
}

// Run serves until ctx ends or a target fails.
func (f *Fleet) Run(ctx context.Context) error {
	f.init()
	var servers []*server
	if f.Admin != "" {
		s, err := f.serveAdmin(ctx)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := f.startTargets(runCtx)
	err := f.waitForTargets(runCtx, results)
	f.setHostStates(HostGone)
	cancel()
	for range f.Targets {
		err = errors.CombineErrors(err, <-results)
	}
	shutdown(servers)
	return err
}

// Ready is closed when every target listens.
func (f *Fleet) Ready() <-chan struct{} {
	f.init()
	return f.ready
}

// AdminAddr returns the bound "ip:port" address of the admin API. It is empty
// before Ready and if the admin API is disabled.
func (f *Fleet) AdminAddr() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return listenerAddr(f.adminListener)
}

// Target returns the target with the given ID.
func (f *Fleet) Target(id string) (*Target, bool) {
	for _, t := range f.Targets {
		if t.cfg.ID == id {
			return t, true
		}
	}
	return nil, false
}

func (f *Fleet) init() {
	f.initOnce.Do(func() { f.ready = make(chan struct{}) })
}

func (f *Fleet) serveAdmin(ctx context.Context) (*server, error) {
	listener, err := listen(ctx, f.Admin)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.adminListener = listener
	f.mu.Unlock()
	return serve(listener, f.adminHandler()), nil
}

// startTargets runs every target in a goroutine, which sends the result of Run.
func (f *Fleet) startTargets(ctx context.Context) chan error {
	results := make(chan error, len(f.Targets))
	for _, t := range f.Targets {
		go func() {
			results <- magnoliashore.Step(t.Run(ctx), "run target", t.cfg.ID)
		}()
	}
	return results
}

// waitForTargets marks the targets live once all listen, and returns when ctx
// ends or a target fails. For each result that it receives, it sends a nil
// result back, because Run receives one per target.
func (f *Fleet) waitForTargets(ctx context.Context, results chan error) error {
	for _, t := range f.Targets {
		select {
		case <-t.Ready():
		case <-ctx.Done():
			return nil
		case err := <-results:
			results <- nil
			return err
		}
	}
	f.setHostStates(HostLive)
	close(f.ready)
	return f.waitForEnd(ctx, results)
}

// waitForEnd returns when ctx ends or a target fails. The others keep running
// when a target was stopped.
func (f *Fleet) waitForEnd(ctx context.Context, results chan error) error {
	stopped := 0
	defer func() {
		for range stopped {
			results <- nil
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-results:
			stopped++
			if err != nil {
				return err
			}
		}
	}
}

// setHostStates sets the state of every target in the host list.
func (f *Fleet) setHostStates(state HostState) {
	for _, t := range f.Targets {
		if err := f.setHostState(t.cfg.ID, state); err != nil {
			log.WithError(err).Warn("cannot update the targets in the host list of the platform")
			return
		}
	}
}

func (f *Fleet) setHostState(id string, state HostState) error {
	if f.PlatformAdmin == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	client := AdminClient{Address: f.PlatformAdmin}
	return client.SetHost(ctx, id, state)
}
