package entry

import (
	"context"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
)

// idleCheckInterval is the interval at which a leaving host checks whether
// requests are still in flight.
const idleCheckInterval = 20 * time.Millisecond

// leaveAfter waits until ctx ends or the host is superseded, and then shuts the
// host down gracefully. It returns early when lifetime ends.
func (h *Host) leaveAfter(ctx, lifetime context.Context, stopServing func()) {
	select {
	case <-ctx.Done():
	case <-h.control.superseded:
	case <-lifetime.Done():
		return
	}
	h.leaving.Store(true)
	h.emit(magnoliashore.EventSpec{Code: event.Stopping, Detail: "addresses withdrawn"})
	h.control.requestHeartbeat()
	limit := h.Timer.Now().Add(h.Settings.Limits.Drain)
	h.awaitAddressExpiry(lifetime, limit)
	stopServing()
	h.awaitIdle(lifetime, limit)
	h.control.releaseAll()
}

// awaitAddressExpiry waits until the address lists that name this host have
// expired at all callers. Peers stop handing out its address within two
// heartbeats. limit bounds the wait.
func (h *Host) awaitAddressExpiry(lifetime context.Context, limit time.Time) {
	peersInformed := h.Timer.Now().Add(2 * h.Settings.Lease.Heartbeat)
	lastServed := time.UnixMicro(h.entriesServedAt.Load())
	if lastServed.Before(peersInformed) {
		lastServed = peersInformed
	}
	until := lastServed.Add(h.Settings.Limits.Keep)
	if until.After(limit) {
		until = limit
	}
	wake := h.Timer.At(until)
	defer wake.Stop()
	select {
	case <-wake.C:
	case <-lifetime.Done():
	}
}

// awaitIdle waits until no query and no sub-request is in flight, or limit has
// passed.
func (h *Host) awaitIdle(lifetime context.Context, limit time.Time) {
	tick := h.Timer.Every(idleCheckInterval)
	defer tick.Stop()
	for h.inFlight.Load() > 0 || h.workers.inFlight() > 0 {
		select {
		case now := <-tick.C:
			if now.After(limit) {
				return
			}
		case <-lifetime.Done():
			return
		}
	}
}
