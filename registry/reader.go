package registry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	joinWait    = time.Second            // for other hosts at the start; two rounds of the membership
	gatherTime  = 100 * time.Millisecond // for which changes add up before the next call
	firstRetry  = 100 * time.Millisecond // after a failed call to the source
	oneRound    = 6                      // failures after which every source has been tried and the wait grows
	maxFailures = 16                     // that are counted
	lastRetry   = 800 * time.Millisecond // leaves time to apply a change within its bound
)

// Reader keeps a book up to date from a source. Set the exported fields
// before Run.
type Reader struct {
	Table  *Table
	Source Source
	Timer  *timer.Service
	Log    log.Interface
	// Joined ends when this host has found others, so that it need not read
	// the store itself; nil if there is nothing to wait for.
	Joined <-chan struct{}
	// OnChange is called with each new view, from the reader's goroutines;
	// may be nil.
	OnChange func(view *catalog.View)

	mu      sync.Mutex
	view    atomic.Pointer[catalog.View]
	changed chan struct{} // closed at the next change
	lapse   *timer.Subscription
	heard   time.Time // when the source last answered
	hops    int       // hosts between this one and the store, at the latest call
	lost    bool
}

// View returns what is known now. It is never nil.
func (r *Reader) View() *catalog.View {
	if v := r.view.Load(); v != nil {
		return v
	}
	return catalog.NewView(nil, nil)
}

// Age returns how long ago the store was heard.
func (r *Reader) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Timer.Now().Sub(r.heard)
}

// Run reads until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	r.awaitOthers(ctx)
	failures := 0
	for ctx.Err() == nil {
		err := r.step(ctx)
		if err == nil {
			failures = 0
			r.pause(ctx, gatherTime)
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		r.noteLost(err)
		failures++
		r.pause(ctx, timer.Jitter(min(firstRetry<<max(0, min(failures, maxFailures)-oneRound), lastRetry)))
	}
	return nil
}

// awaitOthers waits until other hosts are found, or for joinWait.
func (r *Reader) awaitOthers(ctx context.Context) {
	if r.Joined == nil {
		return
	}
	wait := r.Timer.After(joinWait)
	defer wait.Stop()
	select {
	case <-r.Joined:
	case <-wait.C:
	case <-ctx.Done():
	}
}

func (r *Reader) pause(ctx context.Context, length time.Duration) {
	wait := r.Timer.After(length)
	defer wait.Stop()
	select {
	case <-wait.C:
	case <-ctx.Done():
	}
}

// step makes one call to the source.
func (r *Reader) step(ctx context.Context) error {
	r.mu.Lock()
	revision := r.Table.Revision()
	r.mu.Unlock()
	if revision == 0 {
		return r.list(ctx)
	}
	batch, err := r.Source.Watch(ctx, revision)
	r.noteHops(batch)
	if errors.Is(err, ErrCompacted) {
		r.Log.WithField("revision", revision).Info("history is gone; listing everything")
		return r.list(ctx)
	}
	if answered(err) {
		r.take(batch, func(now time.Time) []Change { return r.Table.Apply(now, batch) })
	}
	return err
}

func (r *Reader) list(ctx context.Context) error {
	batch, err := r.Source.List(ctx)
	r.noteHops(batch)
	if answered(err) {
		r.take(batch, func(now time.Time) []Change { return r.Table.Replace(now, batch) })
	}
	return err
}

// take applies an answer of the source.
func (r *Reader) take(batch Batch, apply func(now time.Time) []Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	r.noteHeard(now.Add(-batch.Age))
	changes := apply(now)
	for _, c := range changes {
		r.logChange(c)
	}
	if len(changes) > 0 || r.view.Load() == nil {
		r.refresh(now)
	}
}

// all returns everything, for another host.
func (r *Reader) all() (Batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Table.Revision() == 0 {
		return Batch{}, errors.New("nothing is known yet")
	}
	batch := r.Table.All()
	r.stamp(&batch)
	return batch, nil
}

// stamp says how near to the store a batch for another host is. The caller
// holds mu.
func (r *Reader) stamp(batch *Batch) {
	batch.Age = r.Timer.Now().Sub(r.heard)
	batch.Hops = r.hops + 1
}

// after returns the changes after a revision for another host. It waits for
// one at most for the given time, and not at all if this host is so far from
// the store that its answers come through more hosts than hops.
func (r *Reader) after(ctx context.Context, revision uint64, hops int, wait time.Duration) (Batch, error) {
	over := r.Timer.After(wait)
	defer over.Stop()
	for waited := false; ; {
		batch, changed, err := r.changes(revision)
		// A host that is out of touch with the store says so at once.
		if err != nil || len(batch.Items) > 0 || waited || batch.Hops > hops || batch.Age > staleAfter(batch.Hops) {
			return batch, err
		}
		select {
		case <-changed:
		case <-over.C:
			waited = true
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

func (r *Reader) changes(revision uint64) (Batch, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch, err := r.Table.After(revision)
	r.stamp(&batch)
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return batch, r.changed, err
}

// refresh makes a new view visible, and has the next one made when a lapsed
// target is given up. The caller holds mu.
func (r *Reader) refresh(now time.Time) {
	view, next := r.Table.View(now)
	r.view.Store(view)
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
	if r.OnChange != nil {
		r.OnChange(view)
	}
	if r.lapse != nil {
		r.lapse.Stop()
		r.lapse = nil
	}
	if next.IsZero() {
		return
	}
	r.lapse = r.Timer.Call(next.Sub(now), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.refresh(r.Timer.Now())
	})
}

// noteHops notes how far this host is from the store after a call, also after
// one that failed.
func (r *Reader) noteHops(batch Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hops = batch.Hops
}

func (r *Reader) noteHeard(at time.Time) {
	if r.lost && r.Timer.Now().Sub(at) <= staleAfter(r.hops) {
		r.Log.WithField("revision", r.Table.Revision()).Info("entries are read again")
		r.lost = false
	}
	if at.After(r.heard) {
		r.heard = at
	}
}

func (r *Reader) noteLost(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lost && !errors.Is(err, errFar) {
		r.lost = true
		r.Log.WithError(err).WithField("revision", r.Table.Revision()).Warn("entries cannot be read")
	}
}

func (r *Reader) logChange(c Change) {
	entry := r.Log.WithFields(log.Fields{"key": c.Item.Key, "revision": c.Item.Revision, "removed": c.Item.Removed})
	switch {
	case c.Err != nil:
		entry.WithError(c.Err).Warn("ignoring an entry that cannot be used")
	case c.Decoded.Config != nil:
		entry.WithField("version", uint64(c.Decoded.Config.Version())).Info("configuration in force")
	case c.Decoded.Target != nil:
		entry.WithFields(log.Fields{
			"service": string(c.Decoded.Target.Service()), "address": c.Decoded.Target.Address(), "leaving": c.Decoded.Target.Leaving(),
		}).Info("target changed")
	default:
		entry.WithField("zone", string(c.Decoded.EvacuatedZone)).Info("availability zone taken out or back")
	}
}
