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

// run reads and watches the platform while this host is its cell's reader,
// until ctx ends.
func (c *config) run(ctx context.Context) error {
	var stopWatch context.CancelFunc
	defer func() {
		if stopWatch != nil {
			stopWatch()
		}
	}()
	for ctx.Err() == nil {
		c.mu.Lock()
		role := c.reader.Role(c.host.Timer.Now())
		c.mu.Unlock()
		if role == configservice.Watch && stopWatch == nil {
			stopWatch = c.watch(ctx)
		}
		if role != configservice.Watch && stopWatch != nil {
			stopWatch()
			stopWatch = nil
		}
		if role == configservice.Watch {
			c.readAll(ctx)
		}
		c.waitPoll(ctx)
	}
	return nil
}

// waitPoll waits for one poll period with jitter, or for a multiple of it while
// the platform fails.
func (c *config) waitPoll(ctx context.Context) {
	c.mu.Lock()
	factor := min(1<<min(c.failures, 3), maxBackoffFactor)
	c.mu.Unlock()
	wake := c.host.Timer.After(timer.Jitter(time.Duration(factor) * c.host.Settings.Config.Poll))
	defer wake.Stop()
	select {
	case <-ctx.Done():
	case <-wake.C:
	}
}

// watch starts a long-polling goroutine for each key. The returned function
// stops them.
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
		wake := c.host.Timer.After(timer.Jitter(watchRetryDelay * maxBackoffFactor))
		select {
		case <-ctx.Done():
		case <-wake.C:
		}
		wake.Stop()
	}
}

// readAll reads every key and the host list.
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
	c.recordRead(errors.CombineErrors(failed, err))
}

// recordRead records the result of reading the platform, and emits an event
// when the platform starts to fail or recovers.
func (c *config) recordRead(err error) {
	c.mu.Lock()
	previous := c.failures
	if err == nil {
		c.failures = 0
		c.readAt = c.host.Timer.Now()
	} else {
		c.failures++
	}
	c.mu.Unlock()
	if err != nil && previous == 0 {
		c.host.emit(magnoliashore.EventSpec{Code: event.PlatformLost, Peer: "platform", Detail: err.Error()})
	}
	if err == nil && previous > 0 {
		c.host.emit(magnoliashore.EventSpec{Code: event.PlatformBack, Peer: "platform"})
	}
}
