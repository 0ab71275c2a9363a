package standin

import (
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

// Result says how a request ended at a target.
type Result string

// The results.
const (
	// ResultDone says that the request ran to its end.
	ResultDone Result = "done"
	// ResultRefused says that the request did not start.
	ResultRefused Result = "refused"
	// ResultCancelled says that the client left; the request may have run in
	// part if Running is above zero.
	ResultCancelled Result = "cancelled"
	// ResultFailed says that the target was lost while the request ran or
	// waited.
	ResultFailed Result = "failed"
	// ResultOverrun says that the request was the one too many that made a
	// cold target fall over.
	ResultOverrun Result = "overrun"
)

// Entry is what a target records of one request.
type Entry struct {
	target  string
	ask     ask
	process string
	start   time.Time
	end     time.Time
	cold    bool
	told    bool
	begun   bool
	running int
	result  Result
	reason  string
}

func newEntry(target string, j *job, result Result, reason string, end time.Time) Entry {
	return Entry{
		target:  target,
		ask:     j.ask,
		process: j.process,
		start:   j.started,
		end:     end,
		cold:    j.cold,
		told:    j.told,
		begun:   j.begun,
		running: j.running,
		result:  result,
		reason:  reason,
	}
}

// Request returns the number of the sub-request, unique per sending process.
func (e Entry) Request() uint64 { return e.ask.request }

// Query returns the query.
func (e Entry) Query() magnoliashore.QueryID { return magnoliashore.QueryID(e.ask.query) }

// Partition returns the partition that was asked for.
func (e Entry) Partition() magnoliashore.PartitionID {
	return magnoliashore.PartitionID(e.ask.partition)
}

// Snapshot returns the snapshot that was asked for.
func (e Entry) Snapshot() magnoliashore.SnapshotID {
	return magnoliashore.SnapshotID(e.ask.snapshot)
}

// Target returns the target.
func (e Entry) Target() magnoliashore.TargetID { return magnoliashore.TargetID(e.target) }

// Incarnation returns the text that names the target's process.
func (e Entry) Incarnation() string { return e.process }

// Start returns the wall clock time at which the request got its slot; if it
// never got one, that of its arrival.
func (e Entry) Start() time.Time { return e.start }

// End returns the wall clock time of the result.
func (e Entry) End() time.Time { return e.end }

// Begun reports whether the request got a slot and started to run.
func (e Entry) Begun() bool { return e.begun }

// Cold reports whether the target was cold at Start.
func (e Entry) Cold() bool { return e.cold }

// ColdReported reports whether a reply or a cut connection had shown before Start
// that the target was cold.
func (e Entry) ColdReported() bool { return e.told }

// Running returns how many requests ran at Start, this one included if it
// has begun.
func (e Entry) Running() int { return e.running }

// AtMostOnce reports whether the request was not idempotent.
func (e Entry) AtMostOnce() bool { return e.ask.once }

// Result returns how the request ended.
func (e Entry) Result() Result { return e.result }

// Reason returns why a request was refused: the value of the header Refused.
func (e Entry) Reason() string { return e.reason }

// ledger keeps the newest entries.
type ledger struct {
	size int

	mu      sync.Mutex
	entries []Entry
	next    int // where the next entry goes once the ledger is full
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
	l.entries[l.next] = entry
	l.next = (l.next + 1) % l.size
	l.dropped++
}

func (l *ledger) list() []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]Entry, 0, len(l.entries))
	list = append(list, l.entries[l.next:]...)
	return append(list, l.entries[:l.next]...)
}

func (l *ledger) droppedCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dropped
}
