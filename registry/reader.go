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
	joinTimeout        = time.Second            // limit of the wait for other hosts at the start; two rounds of the membership
	coalesceDelay      = 100 * time.Millisecond // pause before the next call, in which changes accumulate
	minRetryDelay      = 100 * time.Millisecond // delay after a failed call
	fastRetries        = 6                      // failures before the delay grows; by then every source was tried
	maxCountedFailures = 16                     // bounds the exponent of the delay
	maxRetryDelay      = 800 * time.Millisecond // leaves time to apply a change within its bound
)

// Reader keeps a table up to date from a source. Set the exported fields before
// Run.
type Reader struct {
	Table  *Table
	Source Source
	Timer  *timer.Service
	Log    log.Interface
	// Joined is closed once this host has found others, so that it need not read
	// the store itself; nil to start at once.
	Joined <-chan struct{}
	// OnChange is called with each new view, from the reader's goroutines;
	// may be nil.
	OnChange func(view *catalog.View)

	mu           sync.Mutex
	view         atomic.Pointer[catalog.View]
	changed      chan struct{} // closed on the next change of the view; nil if nobody waits
	expiry       *timer.Subscription
	lastContact  time.Time // latest known contact of a source with the store
	hops         int       // hosts between this one and the store, as of the latest call
	disconnected bool      // no entries can be read
}

// View returns the current view. It is never nil.
func (r *Reader) View() *catalog.View {
	if v := r.view.Load(); v != nil {
		return v
	}
	return catalog.NewView(nil, nil)
}

// Age returns the time since the last contact with the store.
func (r *Reader) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Timer.Now().Sub(r.lastContact)
}

// Run reads from the source until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	r.awaitJoin(ctx)
	failures := 0
	for ctx.Err() == nil {
		err := r.poll(ctx)
		if err == nil {
			failures = 0
			r.pause(ctx, coalesceDelay)
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		r.recordFailure(err)
		failures++
		r.pause(ctx, timer.Jitter(min(minRetryDelay<<max(0, min(failures, maxCountedFailures)-fastRetries), maxRetryDelay)))
	}
	return nil
}

// awaitJoin waits until other hosts are found, for joinTimeout at most.
func (r *Reader) awaitJoin(ctx context.Context) {
	if r.Joined == nil {
		return
	}
	wait := r.Timer.After(joinTimeout)
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

// poll makes one call to the source.
func (r *Reader) poll(ctx context.Context) error {
	r.mu.Lock()
	revision := r.Table.Revision()
	r.mu.Unlock()
	if revision == 0 {
		return r.list(ctx)
	}
	batch, err := r.Source.Watch(ctx, revision)
	r.setHops(batch)
	if errors.Is(err, ErrCompacted) {
		r.Log.WithField("revision", revision).Info("changes were discarded by the source; listing all entries")
		return r.list(ctx)
	}
	if hasBatch(err) {
		r.applyBatch(batch, func(now time.Time) []Change { return r.Table.Apply(now, batch) })
	}
	return err
}

func (r *Reader) list(ctx context.Context) error {
	batch, err := r.Source.List(ctx)
	r.setHops(batch)
	if hasBatch(err) {
		r.applyBatch(batch, func(now time.Time) []Change { return r.Table.Replace(now, batch) })
	}
	return err
}

// applyBatch applies an answer of the source and updates the view.
func (r *Reader) applyBatch(batch Batch, apply func(now time.Time) []Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	r.recordContact(now.Add(-batch.Age))
	changes := apply(now)
	for _, c := range changes {
		r.logChange(c)
	}
	if len(changes) > 0 || r.view.Load() == nil {
		r.publishView(now)
	}
}

// all returns all items, for another host.
func (r *Reader) all() (Batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Table.Revision() == 0 {
		return Batch{}, errors.New("no entries have been read yet")
	}
	batch := r.Table.All()
	r.setDistance(&batch)
	return batch, nil
}

// setDistance sets the age and the hops of a batch for another host. The caller
// holds mu.
func (r *Reader) setDistance(batch *Batch) {
	batch.Age = r.Timer.Now().Sub(r.lastContact)
	batch.Hops = r.hops + 1
}

// after returns the changes after a revision, for another host. It waits for a
// change up to the given time, and not at all if the answers of this host come
// through more hosts than hops.
func (r *Reader) after(ctx context.Context, revision uint64, hops int, wait time.Duration) (Batch, error) {
	timeout := r.Timer.After(wait)
	defer timeout.Stop()
	for waited := false; ; {
		batch, changed, err := r.changes(revision)
		// A host that is too far from the store, or has lost contact with it,
		// answers at once.
		if err != nil || len(batch.Items) > 0 || waited || batch.Hops > hops || batch.Age > maxAge(batch.Hops) {
			return batch, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			waited = true
		case <-ctx.Done():
			return Batch{}, ctx.Err()
		}
	}
}

func (r *Reader) changes(revision uint64) (Batch, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch, err := r.Table.ChangesAfter(revision)
	r.setDistance(&batch)
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return batch, r.changed, err
}

// publishView publishes a new view and schedules the next one for the end of a
// grace period. The caller holds mu.
func (r *Reader) publishView(now time.Time) {
	view, next := r.Table.View(now)
	r.view.Store(view)
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
	if r.OnChange != nil {
		r.OnChange(view)
	}
	if r.expiry != nil {
		r.expiry.Stop()
		r.expiry = nil
	}
	if next.IsZero() {
		return
	}
	r.expiry = r.Timer.Call(next.Sub(now), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.publishView(r.Timer.Now())
	})
}

// setHops records the distance from the store as of a call, also of a failed one.
func (r *Reader) setHops(batch Batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hops = batch.Hops
}

func (r *Reader) recordContact(at time.Time) {
	if r.disconnected && r.Timer.Now().Sub(at) <= maxAge(r.hops) {
		r.Log.WithField("revision", r.Table.Revision()).Info("entries are read again")
		r.disconnected = false
	}
	if at.After(r.lastContact) {
		r.lastContact = at
	}
}

func (r *Reader) recordFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.disconnected && !errors.Is(err, errTooManyHops) {
		r.disconnected = true
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
