package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
)

// stage is what a request waits for.
type stage int32

// The stages of a request.
const (
	waitsForAdmission  stage = iota // capacity of its services
	waitsForConnection              // a connection to a target; nothing was sent to any
	waitsForTarget                  // answers of targets
	waitsForHost                    // the answer of another host
	writesAnswer                    // the caller, which reads the answer
)

// String returns the stage as it is logged.
func (s stage) String() string {
	switch s {
	case waitsForAdmission:
		return "admission"
	case waitsForConnection:
		return "connection"
	case waitsForTarget:
		return "target"
	case waitsForHost:
		return "host"
	default:
		return "caller"
	}
}

// maxLoggedInFlight is the most requests in flight that are logged at the end of a
// shutdown.
const maxLoggedInFlight = 20

// inFlight holds the requests that run on this host, and the batches of other hosts.
type inFlight struct {
	mu      sync.Mutex
	queries map[*query]struct{}
	empty   chan struct{} // closed when no request is left; nil if nobody waits
	refused bool          // requests that are not sent yet must not be
}

func (f *inFlight) add(q *query) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.queries == nil {
		f.queries = make(map[*query]struct{})
	}
	f.queries[q] = struct{}{}
	if f.refused {
		close(q.withdrawn)
	}
}

func (f *inFlight) remove(q *query) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.queries, q)
	if len(f.queries) == 0 && f.empty != nil {
		close(f.empty)
		f.empty = nil
	}
}

// drained returns a channel that is closed when no request is in flight.
func (f *inFlight) drained() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.queries) == 0 {
		none := make(chan struct{})
		close(none)
		return none
	}
	if f.empty == nil {
		f.empty = make(chan struct{})
	}
	return f.empty
}

// withdraw withdraws the requests that were not sent to a target yet, and those that
// begin from now on. It returns how many there are, and how many are in flight.
func (f *inFlight) withdraw() (waiting, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused = true
	for q := range f.queries {
		if !q.sending.Load() {
			close(q.withdrawn)
			waiting++
		}
	}
	return waiting, len(f.queries)
}

// log logs the requests in flight and what each of them waits for, the oldest first.
func (f *inFlight) log(logger log.Interface, now time.Time) {
	f.mu.Lock()
	queries := make([]*query, 0, len(f.queries))
	for q := range f.queries {
		queries = append(queries, q)
	}
	f.mu.Unlock()
	slices.SortFunc(queries, func(a, b *query) int { return cmp.Compare(a.received.UnixNano(), b.received.UnixNano()) })
	for _, q := range queries[:min(len(queries), maxLoggedInFlight)] {
		logger.WithFields(log.Fields{
			"request": q.request.ID, "route": q.kind, "stage": q.currentStage().String(), "sent": q.sending.Load(),
			"took": now.Sub(q.received).Round(100 * time.Microsecond).String(), "inflight": len(queries),
		}).Warn("request is still in flight")
	}
}

// setStage records what the query waits for.
func (q *query) setStage(s stage) { q.stage.Store(int32(s)) }

// currentStage returns what the query waits for.
func (q *query) currentStage() stage { return stage(q.stage.Load()) }

// recordSend records that an attempt of the query is sent to a target.
func (q *query) recordSend() {
	q.sending.Store(true)
	q.setStage(waitsForTarget)
	if q.whole != nil {
		q.whole.recordSend()
	}
}
