package target

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

var (
	errWriteDeadline = errors.New("the write deadline has passed")
	errRevoked       = errors.New("writing the request is no longer permitted")
	errNewConn       = errors.New("the connection is newer than the request")
	errNotWritten    = errors.New("the request could not be written")
)

// phase is the progress of writing one request.
type phase int

const (
	phaseUnwritten phase = iota // nothing written; a connection may start to write
	phaseWriting                // a connection is writing or has written
	phaseFailed                 // the first write failed without writing a byte
	phaseRevoked                // nothing written; no connection may start to write
)

// attempt is the permission to write one request, once and on one connection.
type attempt struct {
	clock          magnoliashore.Clock
	writeDeadline  time.Time            // no write may start at this time or later; zero means no limit
	reason         magnoliashore.Reason // reason given if a write is refused
	openedBy       time.Time            // the connection must have been opened by then; zero allows any connection
	leaseEnd       time.Time            // before then a connection opened after openedBy is allowed too
	reportedBreaks uint64               // with openedBy, connections opened after a later break are never allowed; see Pool.ReportedBreaks
	abort          func()               // ends the exchange, so that the transport tries no other connection

	mu           sync.Mutex
	phase        phase
	conn         *conn     // most recently obtained connection
	writer       *conn     // connection that started to write
	connAt       time.Time // when conn was obtained
	writeRefused bool      // a write was refused
}

// newAttempt returns the attempt for sub. Its write deadline is the permit's
// NotAfter or the sub's deadline, whichever comes first.
func newAttempt(clock magnoliashore.Clock, sub magnoliashore.Sub, permit magnoliashore.Permit) *attempt {
	a := newUnlimited(clock)
	a.writeDeadline = sub.Deadline()
	a.reason = magnoliashore.ReasonDeadline
	if permit.OpenConnOnly {
		a.openedBy = clock.Now()
		a.leaseEnd = permit.LeaseEnd
		a.reportedBreaks = permit.ReportedBreaks
	}
	if permit.NotAfter.IsZero() {
		return a
	}
	if a.writeDeadline.IsZero() || !a.writeDeadline.Before(permit.NotAfter) {
		a.writeDeadline = permit.NotAfter
		a.reason = magnoliashore.ReasonLease
	}
	return a
}

// newUnlimited returns an attempt without a write deadline.
func newUnlimited(clock magnoliashore.Clock) *attempt {
	return &attempt{clock: clock, abort: func() {}}
}

// newRevoked returns an attempt that must never be written.
func newRevoked() *attempt { return &attempt{phase: phaseRevoked, abort: func() {}} }

// expired reports whether the write deadline has passed.
func (a *attempt) expired() bool {
	return !a.writeDeadline.IsZero() && !a.clock.Now().Before(a.writeDeadline)
}

// setConn records the connection that the request obtained and reports whether
// it is the first one.
func (a *attempt) setConn(c *conn) bool {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	first := a.conn == nil
	a.conn = c
	a.connAt = now
	return first
}

// claim gives c the permission to write the request. It is called before each
// write and fails for any other connection.
func (a *attempt) claim(c *conn) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tooNew(c) {
		a.writeRefused = true
		a.reason = magnoliashore.ReasonLease
		return errNewConn
	}
	if a.phase == phaseUnwritten {
		a.phase = phaseWriting
		a.writer = c
		return nil
	}
	if a.phase == phaseWriting && a.writer == c {
		return nil
	}
	return errRevoked
}

// tooNew reports whether the connection must not be used: it was opened after
// a break that the permit does not account for, or after the request and not
// during the lease.
func (a *attempt) tooNew(c *conn) bool {
	switch {
	case a.openedBy.IsZero():
		return false
	case c.breaksAtOpen > a.reportedBreaks:
		return true
	case !c.opened.After(a.openedBy):
		return false
	}
	return !a.clock.Now().Before(a.leaseEnd)
}

// recordFailure records that the first write failed without writing a byte.
func (a *attempt) recordFailure() {
	a.mu.Lock()
	a.phase = phaseFailed
	a.mu.Unlock()
}

// recordRefusal records that a write was refused or cut off at the write
// deadline.
func (a *attempt) recordRefusal() {
	a.mu.Lock()
	a.writeRefused = true
	a.mu.Unlock()
}

// revoke withdraws the permission to write and reports whether it is certain
// that no byte was written.
func (a *attempt) revoke() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase == phaseUnwritten {
		a.phase = phaseRevoked
	}
	return a.phase != phaseWriting
}

// state returns the most recently obtained connection, when it was obtained,
// and whether a write was refused.
func (a *attempt) state() (c *conn, connAt time.Time, writeRefused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn, a.connAt, a.writeRefused
}

// writingConn returns the connection that started to write; nil if none did.
func (a *attempt) writingConn() *conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.writer
}
