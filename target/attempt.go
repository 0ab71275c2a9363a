package target

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
)

var (
	errGate   = errors.New("the last moment to write has passed")
	errSealed = errors.New("the request may not be written any more")
	errFresh  = errors.New("the connection did not stand before the request")
	errStop   = errors.New("the request could not be written")
)

// phase is how far the writing of one request has come.
type phase int

const (
	phaseFresh  phase = iota // nothing written, and a connection may begin
	phaseBegun               // a connection is writing or has written
	phaseEmpty               // the first write failed with no byte written
	phaseSealed              // nothing written, and no connection may begin
)

// attempt is the right to write one request once.
type attempt struct {
	clock  magnoliashore.Clock
	gate   time.Time // zero: none
	reason magnoliashore.Reason
	since  time.Time // the connection must have stood then; zero: any will do
	lease  time.Time // until then a newer connection will do too
	era    uint64    // with since: a connection of a later era will not do
	stop   func()    // ends the exchange, so that the transport tries no other connection

	mu      sync.Mutex
	phase   phase
	conn    *conn // the connection obtained last
	writer  *conn // the connection that began to write
	at      time.Time
	refused bool
}

// newAttempt returns the attempt for sub, whose gate is the permit's or the
// sub's deadline, whichever comes first.
func newAttempt(clock magnoliashore.Clock, sub magnoliashore.Sub, permit magnoliashore.Permit) *attempt {
	a := free(clock)
	a.gate = sub.Deadline()
	a.reason = magnoliashore.ReasonDeadline
	if permit.Standing {
		a.since = clock.Now()
		a.lease = permit.Lease
		a.era = permit.Era
	}
	if permit.NotAfter.IsZero() {
		return a
	}
	if a.gate.IsZero() || !a.gate.Before(permit.NotAfter) {
		a.gate = permit.NotAfter
		a.reason = magnoliashore.ReasonLease
	}
	return a
}

// free returns an attempt without a gate.
func free(clock magnoliashore.Clock) *attempt {
	return &attempt{clock: clock, stop: func() {}}
}

// sealed returns an attempt that may never be written.
func sealed() *attempt { return &attempt{phase: phaseSealed, stop: func() {}} }

// passed reports whether the gate has passed.
func (a *attempt) passed() bool {
	return !a.gate.IsZero() && !a.clock.Now().Before(a.gate)
}

// obtained records the connection that the request got, and reports whether
// it is the first one.
func (a *attempt) obtained(c *conn) bool {
	now := a.clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	first := a.conn == nil
	a.conn = c
	a.at = now
	return first
}

// begin claims the right to write for c. It may be called for each write.
func (a *attempt) begin(c *conn) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.tooFresh(c) {
		a.refused = true
		a.reason = magnoliashore.ReasonLease
		return errFresh
	}
	if a.phase == phaseFresh {
		a.phase = phaseBegun
		a.writer = c
		return nil
	}
	if a.phase == phaseBegun && a.writer == c {
		return nil
	}
	return errSealed
}

// tooFresh reports whether the connection may not be used because it did not
// stand before the request.
func (a *attempt) tooFresh(c *conn) bool {
	switch {
	case a.since.IsZero():
		return false
	case c.era > a.era:
		return true
	case !c.opened.After(a.since):
		return false
	}
	return !a.clock.Now().Before(a.lease)
}

// empty records that the first write failed with no byte written.
func (a *attempt) empty() {
	a.mu.Lock()
	a.phase = phaseEmpty
	a.mu.Unlock()
}

// refuse records that the gate stopped a write.
func (a *attempt) refuse() {
	a.mu.Lock()
	a.refused = true
	a.mu.Unlock()
}

// seal withdraws the right to write, and reports whether it is certain that no
// byte was written.
func (a *attempt) seal() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.phase == phaseFresh {
		a.phase = phaseSealed
	}
	return a.phase != phaseBegun
}

// state returns the connection obtained last, when it was obtained, and
// whether the gate stopped a write.
func (a *attempt) state() (c *conn, at time.Time, refused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conn, a.at, a.refused
}

// by returns the connection that began to write; nil if none did.
func (a *attempt) by() *conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.writer
}
