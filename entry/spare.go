package entry

import (
	"context"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/target"
)

// Times for the spare connection to a target.
const (
	probeTimeout     = time.Second     // timeout of one probe
	spareIdleTimeout = 5 * time.Second // time without requests after which no spare connection is kept
)

// probeResult is the message that carries the result of a probe.
type probeResult struct {
	health target.Health
	err    error
}

// keepSpare probes the target's health in order to open one connection more than
// the running requests use. Requests then rarely wait for a connection, and
// cancelling one does not close the last connection, on which the warmth estimate
// depends.
func (w *worker) keepSpare(ctx context.Context, now time.Time) {
	if w.probing || w.host.Sender != nil || now.Sub(w.lastStart) > spareIdleTimeout {
		return
	}
	if !w.leased(now) {
		return // a new connection may reach a new process, which says nothing about warmth
	}
	conns := w.host.pool.Conns(w.target.ID())
	if conns > w.busy || conns >= w.maxConns {
		return
	}
	w.probing = true
	t := w.target
	go func() {
		probe, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		health, err := w.host.pool.Probe(probe, t)
		w.post(ctx, probeResult{health: health, err: err})
	}()
}

// applyHealth applies the result of a probe. It can make the target cold, but not
// warm.
func (w *worker) applyHealth(m probeResult) {
	w.probing = false
	if m.err != nil {
		return
	}
	now := w.host.Timer.Now()
	w.warmth.Hint(now, m.health.State() == healthCold)
	w.reportWarmth(now)
}

// healthCold is the state that a cold target reports.
const healthCold = "cold"

var _ magnoliashore.Duty = (*worker)(nil)
