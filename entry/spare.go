package entry

import (
	"context"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/target"
)

// Times of the spare connection.
const (
	spareTimeout = time.Second     // for one probe
	spareAfter   = 5 * time.Second // without work after which no spare is kept
)

// probed is the message with the result of a probe.
type probed struct {
	health target.Health
	err    error
}

// keepSpare opens one connection more than the running requests use, by a
// probe of the target's health. A request then seldom waits for a connection,
// and cancelling one does not take the last connection that the belief in
// warmth rests on.
func (w *worker) keepSpare(ctx context.Context, now time.Time) {
	if w.probing || w.host.Sender != nil || now.Sub(w.worked) > spareAfter {
		return
	}
	if !w.leased(now) {
		return // a connection to a process that may be new proves nothing
	}
	conns := w.host.pool.Conns(w.target.ID())
	if conns > w.busy || conns >= w.conns {
		return
	}
	w.probing = true
	t := w.target
	go func() {
		probe, cancel := context.WithTimeout(ctx, spareTimeout)
		defer cancel()
		health, err := w.host.pool.Probe(probe, t)
		w.report(ctx, probed{health: health, err: err})
	}()
}

// learnHealth takes in the result of a probe, which can only lower trust.
func (w *worker) learnHealth(m probed) {
	w.probing = false
	if m.err != nil {
		return
	}
	now := w.host.Timer.Now()
	w.belief.Hint(now, m.health.State() == healthCold)
	w.reportWarmth(now)
}

// healthCold is the state by which a target says that it is cold.
const healthCold = "cold"

var _ magnoliashore.Duty = (*worker)(nil)
