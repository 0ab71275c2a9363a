// Package local runs a whole cell in one process on loopback: entry hosts, and
// stand-ins for the platform and the targets. The commands "try" and "load" and
// tests use it.
package local

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller/client"
	"github.com/magnoliashore/magnoliashore/configservice"
	"github.com/magnoliashore/magnoliashore/entry"
	"github.com/magnoliashore/magnoliashore/settings"
	"github.com/magnoliashore/magnoliashore/standin"
	"github.com/magnoliashore/magnoliashore/timer"
)

// Loopback is a listen address with a free port that the system chooses.
const Loopback = "127.0.0.1:0"

// readyInterval is the interval between checks whether the hosts are ready.
const readyInterval = 10 * time.Millisecond

// Cell is a whole cell in this process. Set the exported fields before Start.
type Cell struct {
	Shape           standin.Shape
	Hosts           int                             // entry hosts, at most 9
	ConfigureHost   func(s *settings.Settings)      // changes the settings of each entry host; may be nil
	ConfigureTarget func(c *standin.TargetConfig)   // changes the configuration of each target; may be nil
	TargetAddress   func(id, address string) string // returns the address to publish for a target; nil means its own
	Log             log.Interface                   // logger of the entry hosts; nil discards their logs
	platform        *standin.Platform
	fleet           *standin.Fleet
	hosts           []*Host
	clock           timer.Service
	cancel          context.CancelFunc
	running         sync.WaitGroup
	mu              sync.Mutex
	failures        []error
}

// Host is one entry host of the cell.
type Host struct {
	*entry.Host
	stop context.CancelFunc
	done chan struct{}
}

// Stop begins the graceful stop of the host.
func (h *Host) Stop() { h.stop() }

// Done returns a channel that is closed when the host has stopped.
func (h *Host) Done() <-chan struct{} { return h.done }

// Start starts the stand-ins and the entry hosts, publishes the table and the
// layout, and waits until every host is ready.
func (c *Cell) Start(ctx context.Context) error {
	ctx, c.cancel = context.WithCancel(ctx)
	if err := c.startStandins(ctx); err != nil {
		return err
	}
	for i := range c.Hosts {
		if err := c.startHost(ctx, i); err != nil {
			return err
		}
	}
	if err := c.publish(); err != nil {
		return err
	}
	return c.awaitReady(ctx)
}

func (c *Cell) startStandins(ctx context.Context) error {
	c.platform = &standin.Platform{}
	c.fleet = &standin.Fleet{}
	for _, config := range c.Shape.Targets() {
		if c.ConfigureTarget != nil {
			c.ConfigureTarget(&config)
		}
		c.fleet.Targets = append(c.fleet.Targets, standin.NewTarget(config))
	}
	c.runInBackground("platform", func() error { return c.platform.Run(ctx) })
	c.runInBackground("targets", func() error { return c.fleet.Run(ctx) })
	for _, ready := range []<-chan struct{}{c.platform.Ready(), c.fleet.Ready()} {
		select {
		case <-ready:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (c *Cell) runInBackground(name string, fn func() error) {
	c.running.Add(1)
	go func() {
		defer c.running.Done()
		if err := fn(); err != nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.failures = append(c.failures, magnoliashore.Step(err, "running", name))
		}
	}()
}

func (c *Cell) startHost(ctx context.Context, i int) error {
	zones := c.Shape.Zones()
	s := settings.Default()
	s.Host = magnoliashore.HostID(fmt.Sprintf("e%d", i+1))
	s.Zone = magnoliashore.ZoneName(zones[i%len(zones)])
	s.Cell = c.Shape.Cell()
	s.Caller = Loopback
	s.Peer = Loopback
	s.Platform = c.platform.Addr()
	if c.ConfigureHost != nil {
		c.ConfigureHost(&s)
	}
	logger := c.Log
	if logger == nil {
		logger = &log.Logger{Handler: discard.New()}
	}
	host := &entry.Host{
		Settings: s,
		Platform: &configservice.Client{Address: s.Platform, HTTP: &http.Client{}, Wait: s.Config.Watch},
		Timer:    &c.clock,
		Log:      logger,
	}
	if err := host.Prepare(ctx); err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	h := &Host{Host: host, stop: stop, done: make(chan struct{})}
	c.hosts = append(c.hosts, h)
	c.runInBackground(string(s.Host), func() error {
		defer close(h.done)
		return host.Run(ctx)
	})
	select {
	case <-host.Listening():
		return nil
	case <-h.done:
		return errors.Newf("entry host %s did not start", s.Host)
	}
}

// publish publishes the operators' table, and the layout with the current
// addresses.
func (c *Cell) publish() error {
	layout, err := configservice.EncodeLayout(c.Layout())
	if err != nil {
		return err
	}
	c.platform.Publish(configservice.TableKey(c.Shape.Cell()), c.Shape.Table())
	c.platform.Publish(configservice.LayoutKey(c.Shape.Cell()), layout)
	return nil
}

// Layout returns the layout of the shape with the current addresses.
func (c *Cell) Layout() magnoliashore.Layout {
	addresses := make(map[string]string, len(c.fleet.Targets))
	for _, t := range c.fleet.Targets {
		addresses[t.Config().ID] = t.Addr()
	}
	publishedAddress := func(id string) string {
		if c.TargetAddress == nil {
			return addresses[id]
		}
		return c.TargetAddress(id, addresses[id])
	}
	seats := make([]magnoliashore.Seat, 0, len(c.hosts))
	for _, h := range c.hosts {
		seats = append(seats, magnoliashore.NewSeat(
			h.Settings.Host, h.Settings.Zone, h.PeerAddr(), h.CallerAddr()))
	}
	return c.Shape.Layout(publishedAddress, seats)
}

func (c *Cell) awaitReady(ctx context.Context) error {
	tick := c.clock.Every(readyInterval)
	defer tick.Stop()
	for !c.ready() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return magnoliashore.Step(ctx.Err(), "waiting for the entry hosts", c.Shape.Cell())
		}
	}
	return nil
}

func (c *Cell) ready() bool {
	for _, h := range c.hosts {
		if !h.Ready() || !h.HoldsAllLeases() {
			return false
		}
	}
	return true
}

// Platform returns the stand-in platform.
func (c *Cell) Platform() *standin.Platform { return c.platform }

// Targets returns the stand-in targets.
func (c *Cell) Targets() []*standin.Target { return c.fleet.Targets }

// TargetNamed returns the stand-in target with the given ID.
func (c *Cell) TargetNamed(id magnoliashore.TargetID) (*standin.Target, bool) {
	return c.fleet.Target(string(id))
}

// EntryHosts returns the entry hosts in seat order.
func (c *Cell) EntryHosts() []*Host { return c.hosts }

// Client returns a new client with the addresses of all entry hosts.
func (c *Cell) Client() *client.Client {
	result := &client.Client{Clock: &c.clock}
	for _, h := range c.hosts {
		result.Seeds = append(result.Seeds, h.CallerAddr())
	}
	return result
}

// Stop stops the entry hosts gracefully and then the stand-ins. It returns the
// errors of all of them since Start.
func (c *Cell) Stop() error {
	for _, h := range c.hosts {
		h.Stop()
	}
	for _, h := range c.hosts {
		<-h.Done()
	}
	c.cancel()
	c.running.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return errors.Join(c.failures...)
}
