package standin

import (
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Result is how a request ended at a target.
type Result string

// Results of a request.
const (
	// ResultDone means that the request completed.
	ResultDone Result = "done"
	// ResultRefused means that the target refused the request before it started.
	ResultRefused Result = "refused"
	// ResultCancelled means that the client disconnected; the request may have
	// run in part if Running is above zero.
	ResultCancelled Result = "cancelled"
	// ResultFailed means that the target crashed or restarted while the request
	// ran or waited.
	ResultFailed Result = "failed"
	// ResultOverrun means that the request exceeded the limit of a cold target
	// and crashed it.
	ResultOverrun Result = "overrun"
)

// Entry is the record of one request in the ledger of a target.
type Entry struct {
	target       string
	request      subRequest
	incarnation  string
	start        time.Time
	end          time.Time
	cold         bool
	coldReported bool
	begun        bool
	running      int
	result       Result
	reason       string
}

func newEntry(target string, j *job, result Result, reason string, end time.Time) Entry {
	return Entry{
		target:       target,
		request:      j.request,
		incarnation:  j.incarnation,
		start:        j.started,
		end:          end,
		cold:         j.cold,
		coldReported: j.coldReported,
		begun:        j.begun,
		running:      j.running,
		result:       result,
		reason:       reason,
	}
}

// Request returns the number of the sub-request, unique per sending process.
func (e Entry) Request() uint64 { return e.request.number }

// Query returns the ID of the query.
func (e Entry) Query() magnoliashore.QueryID { return magnoliashore.QueryID(e.request.query) }

// Partition returns the requested partition.
func (e Entry) Partition() magnoliashore.PartitionID {
	return magnoliashore.PartitionID(e.request.partition)
}

// Snapshot returns the requested snapshot.
func (e Entry) Snapshot() magnoliashore.SnapshotID {
	return magnoliashore.SnapshotID(e.request.snapshot)
}

// Target returns the ID of the target.
func (e Entry) Target() magnoliashore.TargetID { return magnoliashore.TargetID(e.target) }

// Incarnation identifies the process of the target.
func (e Entry) Incarnation() string { return e.incarnation }

// Start returns the wall clock time at which the request got a slot, or of its
// arrival if it never got one.
func (e Entry) Start() time.Time { return e.start }

// End returns the wall clock time of the result.
func (e Entry) End() time.Time { return e.end }

// Begun reports whether the request got a slot and started to run.
func (e Entry) Begun() bool { return e.begun }

// Cold reports whether the target was cold at Start.
func (e Entry) Cold() bool { return e.cold }

// ColdReported reports whether a reply or a closed connection had revealed
// before Start that the target was cold.
func (e Entry) ColdReported() bool { return e.coldReported }

// Running returns the number of requests that ran at Start, including this one
// if it has begun.
func (e Entry) Running() int { return e.running }

// AtMostOnce reports whether the request was not idempotent and must run at most
// once.
func (e Entry) AtMostOnce() bool { return e.request.atMostOnce }

// Result returns how the request ended.
func (e Entry) Result() Result { return e.result }

// Reason returns the reason for a refusal: the value of the header Refused.
func (e Entry) Reason() string { return e.reason }

// ledger is a ring buffer of the newest entries.
type ledger struct {
	size int

	mu      sync.Mutex
	entries []Entry
	oldest  int // index of the oldest entry, overwritten next once the ledger is full
	dropped uint64
}

func newLedger(size int) *ledger { return &ledger{size: size} }

func (l *ledger) add(entry Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) < l.size {
		l.entries = append(l.entries, entry)
		return
	}
	l.entries[l.oldest] = entry
	l.oldest = (l.oldest + 1) % l.size
	l.dropped++
}

func (l *ledger) list() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Entry, 0, len(l.entries))
	list = append(list, l.entries[l.oldest:]...)
	return append(list, l.entries[:l.oldest]...)
}

func (l *ledger) droppedCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}
