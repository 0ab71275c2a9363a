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
	maxRetryDelay      = 400 * time.Millisecond // leaves time to apply a change within its bound, over several hosts
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
	// Bootstrap returns the items of another host before the first call of the
	// source; nil to start with the source. A store that was restored may hold an
	// older configuration than the other hosts.
	Bootstrap func(ctx context.Context) (Batch, error)
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

	skipped atomic.Uint64 // items that were not applied
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

// Position returns the position up to which entries have been read.
func (r *Reader) Position() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.Table.Position()
}

// Depart records that a target has said in an answer that it leaves. Requests go to other
// targets of its service from then on, or for the grace period to this one if there is
// none. Nothing is sent to it after that.
func (r *Reader) Depart(t *catalog.Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	if !r.Table.Depart(now, t) {
		return
	}
	r.Log.WithFields(log.Fields{
		"target": string(t.ID()), "service": string(t.Service()), "address": t.Address(), "born": t.ProcessStart(),
		"age": now.Sub(r.lastContact).Round(time.Millisecond).String(),
	}).Info("target says that it leaves")
	r.publishView(now)
}

// Skipped returns how many items were not applied because they were outdated.
func (r *Reader) Skipped() uint64 { return r.skipped.Load() }

// Run reads from the source until ctx ends.
func (r *Reader) Run(ctx context.Context) error {
	r.awaitJoin(ctx)
	r.bootstrap(ctx)
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

// bootstrap reads the items of another host, if there is one that has any.
func (r *Reader) bootstrap(ctx context.Context) {
	if r.Bootstrap == nil {
		return
	}
	batch, err := r.Bootstrap(ctx)
	if err != nil {
		r.Log.WithError(err).Info("starting without the entries of another host")
		return
	}
	r.applyBatch(batch, r.Table.Replace)
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
	position := r.Table.Position()
	r.mu.Unlock()
	if position.IsZero() {
		return r.list(ctx)
	}
	batch, err := r.Source.Watch(ctx, position, true)
	r.setHops(batch)
	if errors.Is(err, ErrCompacted) {
		r.Log.WithFields(positionFields(position)).WithField("from", batch.Source).Info("changes were discarded by the source; listing all entries")
		return r.list(ctx)
	}
	if hasBatch(err) {
		r.applyBatch(batch, r.Table.Apply)
	}
	return err
}

func (r *Reader) list(ctx context.Context) error {
	batch, err := r.Source.List(ctx)
	r.setHops(batch)
	if hasBatch(err) {
		r.applyBatch(batch, r.Table.Replace)
	}
	return err
}

// applyBatch applies an answer of the source and updates the view.
func (r *Reader) applyBatch(batch Batch, apply func(time.Time, Batch) []Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Timer.Now()
	batch.Since = r.lastContact
	r.recordContact(now.Add(-batch.Age))
	before := r.Table.Position()
	changes := apply(now, batch)
	skipped := 0
	for _, c := range changes {
		if c.Skipped != nil {
			skipped++
		}
		if skipped <= maxSkipLines || c.Skipped == nil {
			r.logChange(c, batch)
		}
	}
	r.skipped.Add(uint64(skipped))
	if len(batch.Items) > 0 || before.Era != batch.Position.Era {
		r.logBatch(batch, before, len(changes)-skipped, skipped)
	}
	restored := before.Era < r.Table.Position().Era
	if restored && !before.IsZero() {
		r.Log.WithFields(positionFields(r.Table.Position())).WithFields(log.Fields{
			"from": batch.Source, "former": before.Revision, "formerera": before.Era,
		}).Warn("the store was restored from an older copy")
	}
	if len(changes) > skipped || restored || r.view.Load() == nil {
		r.publishView(now)
	}
}

// logBatch logs an answer of the source.
func (r *Reader) logBatch(batch Batch, before Position, changed, skipped int) {
	r.Log.WithFields(positionFields(batch.Position)).WithFields(log.Fields{
		"from": batch.Source, "hops": batch.Hops, "age": batch.Age.Round(time.Millisecond).String(),
		"former": before.Revision, "formerera": before.Era,
		"items": len(batch.Items), "changed": changed, "skipped": skipped,
	}).Info("entries read")
}

// positionFields returns the log fields of a position.
func positionFields(p Position) log.Fields { return log.Fields{"era": p.Era, "revision": p.Revision} }

// all returns all items, for another host.
func (r *Reader) all() (Batch, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Table.Position().IsZero() {
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

// after returns the changes after a position, for another host. It waits for a
// change up to the given time, and not at all if the answers of this host come
// through more hosts than hops.
func (r *Reader) after(ctx context.Context, position Position, hops int, wait time.Duration) (Batch, error) {
	timeout := r.Timer.After(wait)
	defer timeout.Stop()
	for waited := wait == 0; ; {
		batch, changed, err := r.changes(position)
		// A host that is too far from the store, has lost contact with it, or is in
		// a former era answers at once.
		if err != nil || len(batch.Items) > 0 || waited || batch.Hops > hops || batch.Age > maxAge(batch.Hops) ||
			batch.Position.Era < position.Era {
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

func (r *Reader) changes(after Position) (Batch, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch, err := r.Table.ChangesAfter(after)
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
	for _, c := range r.Table.Settled() {
		r.logChange(c, Batch{Position: r.Table.Position()})
	}
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
		r.Log.WithFields(positionFields(r.Table.Position())).Info("entries are read again")
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
		r.Log.WithError(err).WithFields(positionFields(r.Table.Position())).Warn("entries cannot be read")
	}
}

// maxSkipLines is the most lines on the skipped items of a batch. The line of the
// batch counts all.
const maxSkipLines = 8

// logChange logs a change from a batch, or a skipped item.
func (r *Reader) logChange(c Change, batch Batch) {
	entry := r.Log.WithFields(log.Fields{
		"key": c.Item.Key, "era": batch.Position.Era, "revision": c.Item.Revision, "removed": c.Item.Removed,
	})
	switch {
	case c.Skipped != nil && c.Decoded.Config != nil:
		entry.WithFields(log.Fields{
			"from": batch.Source, "version": uint64(c.Decoded.Config.Version()),
			"current": uint64(r.Table.Config().Version()), "reason": c.Skipped.Error(),
		}).Info("configuration not applied")
	case c.Skipped != nil:
		entry.WithFields(log.Fields{"from": batch.Source, "reason": c.Skipped.Error()}).Info("entry not applied")
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
