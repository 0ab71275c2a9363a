package entry

import (
	"context"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/event"
)

// leaveCheck is how often a leaving host looks whether its work is done.
const leaveCheck = 20 * time.Millisecond

// leaveAfter waits for the end of ctx and then takes the host out of service
// step by step. It returns early when life ends.
func (h *Host) leaveAfter(ctx, life context.Context, stopServing func()) {
	select {
	case <-ctx.Done():
	case <-h.control.superseded:
	case <-life.Done():
		return
	}
	h.leaving.Store(true)
	h.emit(magnoliashore.EventSpec{Code: event.Stopping, Detail: "addresses withdrawn"})
	h.control.beatNow()
	limit := h.Timer.Now().Add(h.Settings.Limits.Drain)
	h.awaitAddressExpiry(life, limit)
	stopServing()
	h.awaitIdle(life, limit)
	h.control.releaseAll()
}

// awaitAddressExpiry waits until no caller can still hold an address answer
// that names this host: peers hear of the leaving within two heartbeats.
func (h *Host) awaitAddressExpiry(life context.Context, limit time.Time) {
	heard := h.Timer.Now().Add(2 * h.Settings.Lease.Heartbeat)
	last := time.UnixMicro(h.lastKeep.Load())
	if last.Before(heard) {
		last = heard
	}
	until := last.Add(h.Settings.Limits.Keep)
	if until.After(limit) {
		until = limit
	}
	wake := h.Timer.At(until)
	defer wake.Stop()
	select {
	case <-wake.C:
	case <-life.Done():
	}
}

// awaitIdle waits until no query and no sub-request of a peer is in flight.
func (h *Host) awaitIdle(life context.Context, limit time.Time) {
	tick := h.Timer.Every(leaveCheck)
	defer tick.Stop()
	for h.inFlight.Load() > 0 || h.workers.busy() > 0 {
		select {
		case now := <-tick.C:
			if now.After(limit) {
				return
			}
		case <-life.Done():
			return
		}
	}
}
