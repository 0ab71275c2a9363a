// Package event provides the numbered events of an entry host, the log that
// keeps the latest of them, and their merge into one time line.
package event

import (
	"cmp"
	"slices"
	"sync"

	"github.com/apex/log"

	"github.com/magnoliashore/magnoliashore"
)

// The numbered events. A number is never used again for another meaning;
// docs/EVENTS.md describes each.
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

// Names returns the one-word name of each event code.
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

// Name returns the one-word name of a code, or "unknown".
func Name(code magnoliashore.EventCode) string {
	if name, ok := Names()[code]; ok {
		return name
	}
	return "unknown"
}

// Log keeps the latest events of one process and hands out its logical clock.
// Events of queries have a place of their own, so that a flood of them does
// not push out the others. Set the fields before the first Emit.
type Log struct {
	Clock magnoliashore.Clock
	Host  magnoliashore.HostID
	Size  int           // events kept of queries, and as many of the rest
	Logs  log.Interface // where events of the host and its peers are logged too; nil for none

	mu      sync.Mutex
	order   uint64
	queries latest
	rest    latest
}

var _ magnoliashore.Events = (*Log)(nil)

// latest keeps the newest events up to a size.
type latest struct {
	events []magnoliashore.Event
	next   int // place of the oldest one, once full
}

func (l *latest) add(e magnoliashore.Event, size int) {
	if len(l.events) < size {
		l.events = append(l.events, e)
		return
	}
	if size == 0 {
		return
	}
	l.events[l.next] = e
	l.next = (l.next + 1) % size
}

// Emit stamps and keeps the event. The oldest one is dropped if there is no
// room.
func (l *Log) Emit(e magnoliashore.Event) {
	now := l.Clock.Now()
	l.mu.Lock()
	l.order++
	stamped := e.Stamp(now, l.order)
	if e.Code() >= QueryRefused {
		l.queries.add(stamped, l.Size)
	} else {
		l.rest.add(stamped, l.Size)
	}
	l.mu.Unlock()
	l.write(stamped)
}

func (l *Log) write(e magnoliashore.Event) {
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

// perTarget reports whether a code comes once for each target, too often for
// the usual level of the log.
func perTarget(code magnoliashore.EventCode) bool {
	return code == LeaseHeld || code == LeaseLost || code == TargetCold || code == TargetWarm
}

// Order advances the logical clock and returns the reading to send to a peer.
func (l *Log) Order() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.order++
	return l.order
}

// Witness moves the logical clock past a reading that a peer sent.
func (l *Log) Witness(order uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.order = max(l.order, order)
}

// Events returns the kept events, the oldest first.
func (l *Log) Events() []magnoliashore.Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]magnoliashore.Event, 0, len(l.queries.events)+len(l.rest.events))
	out = append(out, l.queries.events...)
	out = append(out, l.rest.events...)
	slices.SortFunc(out, func(a, b magnoliashore.Event) int { return cmp.Compare(a.Order(), b.Order()) })
	return out
}
