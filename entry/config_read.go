package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/configservice"
	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/timer"
)

// run reads the platform when it is this host's turn, until ctx ends.
func (c *config) run(ctx context.Context) error {
	var watching context.CancelFunc
	defer func() {
		if watching != nil {
			watching()
		}
	}()
	for ctx.Err() == nil {
		c.mu.Lock()
		duty := c.reader.Role(c.host.Timer.Now())
		c.mu.Unlock()
		if duty == configservice.Watch && watching == nil {
			watching = c.watch(ctx)
		}
		if duty != configservice.Watch && watching != nil {
			watching()
			watching = nil
		}
		if duty == configservice.Watch {
			c.readAll(ctx)
		}
		c.pause(ctx)
	}
	return nil
}

// pause waits one poll period with jitter, longer while the platform fails.
func (c *config) pause(ctx context.Context) {
	c.mu.Lock()
	factor := min(1<<min(c.failing, 3), maxBackoff)
	c.mu.Unlock()
	wake := c.host.Timer.After(timer.Jitter(time.Duration(factor) * c.host.Settings.Config.Poll))
	defer wake.Stop()
	select {
	case <-ctx.Done():
	case <-wake.C:
	}
}

// watch starts one long-polling duty a key and returns how to end them.
func (c *config) watch(ctx context.Context) context.CancelFunc {
	c.host.emit(magnoliashore.EventSpec{Code: event.ReaderTaken})
	ctx, cancel := context.WithCancel(ctx)
	for _, key := range c.keys {
		go c.watchKey(ctx, key)
	}
	return cancel
}

func (c *config) watchKey(ctx context.Context, key string) {
	for ctx.Err() == nil {
		c.mu.Lock()
		after := c.store.HighestOffered(key)
		c.mu.Unlock()
		value, err := c.host.Platform.Watch(ctx, key, after)
		if err == nil {
			c.offer(value, "platform")
			continue
		}
		wake := c.host.Timer.After(timer.Jitter(retryWait * maxBackoff))
		select {
		case <-ctx.Done():
		case <-wake.C:
		}
		wake.Stop()
	}
}

// readAll reads every key and the host list once.
func (c *config) readAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var failed error
	for _, key := range c.keys {
		value, err := c.host.Platform.Read(ctx, key)
		if err == nil {
			c.offer(value, "platform")
			continue
		}
		if !errors.Is(err, configservice.ErrNotFound) {
			failed = errors.CombineErrors(failed, err)
		}
	}
	hosts, err := c.host.Platform.Hosts(ctx)
	if err == nil {
		c.offerHosts(hosts, 0)
	}
	c.note(errors.CombineErrors(failed, err))
}

// note records whether the platform could be read.
func (c *config) note(err error) {
	c.mu.Lock()
	before := c.failing
	if err == nil {
		c.failing = 0
		c.readAt = c.host.Timer.Now()
	} else {
		c.failing++
	}
	c.mu.Unlock()
	if err != nil && before == 0 {
		c.host.emit(magnoliashore.EventSpec{Code: event.PlatformLost, Peer: "platform", Detail: err.Error()})
	}
	if err == nil && before > 0 {
		c.host.emit(magnoliashore.EventSpec{Code: event.PlatformBack, Peer: "platform"})
	}
}
