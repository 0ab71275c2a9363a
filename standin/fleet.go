package standin

import (
	"context"
	"net"
	"sync"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

// Fleet runs many targets in one process, with one operator's address for all
// of them. Set the exported fields before Run.
type Fleet struct {
	// Targets are the targets to run.
	Targets []*Target
	// Admin is the "ip:port" address of the operator's side; empty means that
	// there is none.
	Admin string
	// PlatformAdmin is the "ip:port" address of the operator's side of a
	// Platform, which is told when targets come and leave; empty means none.
	PlatformAdmin string

	once  sync.Once
	ready chan struct{}
	mu    sync.Mutex
	admin net.Listener
}

// Run serves until ctx ends or one target fails.
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
	failed := f.start(runCtx)
	err := f.await(runCtx, failed)
	f.announce(HostGone)
	cancel()
	for range f.Targets {
		err = errors.CombineErrors(err, <-failed)
	}
	stop(servers)
	return err
}

// Ready is closed when every target listens.
func (f *Fleet) Ready() <-chan struct{} {
	f.init()
	return f.ready
}

// AdminAddr returns the bound "ip:port" address of the operator's side; empty
// before Ready or if there is none.
func (f *Fleet) AdminAddr() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return address(f.admin)
}

// Target returns the target with the given name.
func (f *Fleet) Target(id string) (*Target, bool) {
	for _, t := range f.Targets {
		if t.cfg.ID == id {
			return t, true
		}
	}
	return nil, false
}

func (f *Fleet) init() {
	f.once.Do(func() { f.ready = make(chan struct{}) })
}

func (f *Fleet) serveAdmin(ctx context.Context) (*server, error) {
	listener, err := listen(ctx, f.Admin)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.admin = listener
	f.mu.Unlock()
	return serve(listener, f.adminHandler()), nil
}

// start runs every target; each sends its result when it ends.
func (f *Fleet) start(ctx context.Context) chan error {
	ended := make(chan error, len(f.Targets))
	for _, t := range f.Targets {
		go func() {
			ended <- magnoliashore.Step(t.Run(ctx), "run target", t.cfg.ID)
		}()
	}
	return ended
}

// await announces the targets once all listen, and returns when ctx ends or a
// target fails.
func (f *Fleet) await(ctx context.Context, ended chan error) error {
	for _, t := range f.Targets {
		select {
		case <-t.Ready():
		case <-ctx.Done():
			return nil
		case err := <-ended:
			ended <- nil
			return err
		}
	}
	f.announce(HostLive)
	close(f.ready)
	return f.awaitEnd(ctx, ended)
}

// awaitEnd returns when ctx ends or a target fails. A target that was stopped
// leaves the others running.
func (f *Fleet) awaitEnd(ctx context.Context, ended chan error) error {
	stopped := 0
	defer func() {
		for range stopped {
			ended <- nil
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-ended:
			stopped++
			if err != nil {
				return err
			}
		}
	}
}

// announce tells the platform the state of every target.
func (f *Fleet) announce(state HostState) {
	for _, t := range f.Targets {
		if err := f.tell(t.cfg.ID, state); err != nil {
			log.WithError(err).Warn("the platform could not be told of the targets")
			return
		}
	}
}

func (f *Fleet) tell(id string, state HostState) error {
	if f.PlatformAdmin == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	client := AdminClient{Address: f.PlatformAdmin}
	return client.SetHost(ctx, id, state)
}
