// Package event defines the numbered events of an entry host and a log that
// keeps the latest of them. A logical clock puts the events of several hosts in
// order.
package event

import (
	"cmp"
	"slices"
	"sync"

	"github.com/apex/log"

	"github.com/magnoliashore/magnoliashore"
)

// The event codes, which docs/EVENTS.md describes. The number of a removed code
// must not be reused.
const (
	Started         magnoliashore.EventCode = 100
	Stopping        magnoliashore.EventCode = 101
	Stopped         magnoliashore.EventCode = 102
	Fault           magnoliashore.EventCode = 103
	Superseded      magnoliashore.EventCode = 104
	ConfigApplied   magnoliashore.EventCode = 200
	ConfigInvalid   magnoliashore.EventCode = 201
	ConfigStale     magnoliashore.EventCode = 202
	PlatformLost    magnoliashore.EventCode = 203
	PlatformBack    magnoliashore.EventCode = 204
	ReaderTaken     magnoliashore.EventCode = 205
	PeerUp          magnoliashore.EventCode = 300
	PeerDown        magnoliashore.EventCode = 301
	PeerFrame       magnoliashore.EventCode = 302
	LeaseHeld       magnoliashore.EventCode = 310
	LeaseLost       magnoliashore.EventCode = 311
	SeatAccepted    magnoliashore.EventCode = 312
	TargetCold      magnoliashore.EventCode = 400
	TargetWarm      magnoliashore.EventCode = 401
	TargetOut       magnoliashore.EventCode = 402
	TargetReply     magnoliashore.EventCode = 403
	QueryRefused    magnoliashore.EventCode = 500
	QueryPartial    magnoliashore.EventCode = 501
	QueryRestarted  magnoliashore.EventCode = 502
	QueryHedged     magnoliashore.EventCode = 503
	QueryRetried    magnoliashore.EventCode = 504
	TicketDuplicate magnoliashore.EventCode = 510
	TicketUnknown   magnoliashore.EventCode = 511
	LedgerFull      magnoliashore.EventCode = 512
)

// Names returns the name of each event code.
func Names() map[magnoliashore.EventCode]string {
	return map[magnoliashore.EventCode]string{
		Started:         "started",
		Stopping:        "stopping",
		Stopped:         "stopped",
		Fault:           "fault",
		Superseded:      "superseded",
		ConfigApplied:   "config-applied",
		ConfigInvalid:   "config-invalid",
		ConfigStale:     "config-stale",
		PlatformLost:    "platform-lost",
		PlatformBack:    "platform-back",
		ReaderTaken:     "reader-taken",
		PeerUp:          "peer-up",
		PeerDown:        "peer-down",
		PeerFrame:       "peer-frame",
		LeaseHeld:       "lease-held",
		LeaseLost:       "lease-lost",
		SeatAccepted:    "seat-accepted",
		TargetCold:      "target-cold",
		TargetWarm:      "target-warm",
		TargetOut:       "target-out",
		TargetReply:     "target-reply",
		QueryRefused:    "query-refused",
		QueryPartial:    "query-partial",
		QueryRestarted:  "query-restarted",
		QueryHedged:     "query-hedged",
		QueryRetried:    "query-retried",
		TicketDuplicate: "ticket-duplicate",
		TicketUnknown:   "ticket-unknown",
		LedgerFull:      "ledger-full",
	}
}

// Name returns the name of an event code, or "unknown".
func Name(code magnoliashore.EventCode) string {
	if name, ok := Names()[code]; ok {
		return name
	}
	return "unknown"
}

// Log keeps the latest events of a process and its logical clock. Query events
// have a buffer of their own, so that a flood of them does not evict the other
// events. Set the exported fields before the first call of Emit.
type Log struct {
	Clock magnoliashore.Clock
	Host  magnoliashore.HostID
	Size  int           // capacity for query events, and the same for all other events
	Logs  log.Interface // logger for the events other than query events; nil to log none

	mu          sync.Mutex
	logicalTime uint64
	queryEvents buffer
	otherEvents buffer
}

var _ magnoliashore.Events = (*Log)(nil)

// buffer is a ring buffer of the latest events.
type buffer struct {
	events []magnoliashore.Event
	oldest int // index of the oldest event once the buffer is full
}

func (b *buffer) add(e magnoliashore.Event, size int) {
	if len(b.events) < size {
		b.events = append(b.events, e)
		return
	}
	if size == 0 {
		return
	}
	b.events[b.oldest] = e
	b.oldest = (b.oldest + 1) % size
}

// Emit records the event with the current time. If the buffer is full, the
// event replaces the oldest one.
func (l *Log) Emit(e magnoliashore.Event) {
	now := l.Clock.Now()
	l.mu.Lock()
	l.logicalTime++
	stamped := e.Stamp(now, l.logicalTime)
	if e.Code() >= QueryRefused {
		l.queryEvents.add(stamped, l.Size)
	} else {
		l.otherEvents.add(stamped, l.Size)
	}
	l.mu.Unlock()
	l.logEvent(stamped)
}

func (l *Log) logEvent(e magnoliashore.Event) {
	if l.Logs == nil || e.Code() >= QueryRefused {
		return
	}
	entry := l.Logs.WithFields(log.Fields{
		"event":  int(e.Code()),
		"target": string(e.Target()),
		"peer":   e.Peer(),
		"detail": e.Detail(),
	})
	if perTarget(e.Code()) {
		entry.Debug(Name(e.Code()))
		return
	}
	entry.Info(Name(e.Code()))
}

// perTarget reports whether events with the code occur separately for each
// target, which is too often for the info level.
func perTarget(code magnoliashore.EventCode) bool {
	return code == LeaseHeld || code == LeaseLost || code == TargetCold || code == TargetWarm
}

// Order advances the logical clock and returns its reading, to be sent to a
// peer.
func (l *Log) Order() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logicalTime++
	return l.logicalTime
}

// Witness advances the logical clock to at least a reading received from a
// peer, so that the next event is later than the peer's.
func (l *Log) Witness(order uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logicalTime = max(l.logicalTime, order)
}

// Events returns the kept events, oldest first.
func (l *Log) Events() []magnoliashore.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]magnoliashore.Event, 0, len(l.queryEvents.events)+len(l.otherEvents.events))
	out = append(out, l.queryEvents.events...)
	out = append(out, l.otherEvents.events...)
	slices.SortFunc(out, func(a, b magnoliashore.Event) int { return cmp.Compare(a.Order(), b.Order()) })
	return out
}
