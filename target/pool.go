package target

import (
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

const (
	defaultDialTimeout    = time.Second
	defaultReleaseTimeout = 500 * time.Millisecond
	defaultMaxReply       = 8 << 20 // bytes
)

// Pool holds the connections to a set of targets. Its exported fields must be
// set before first use and not changed afterwards. It is safe for concurrent
// use.
type Pool struct {
	// Clock provides the current time. It is required.
	Clock magnoliashore.Clock
	// UserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection; zero keeps the kernel's default.
	UserTimeout time.Duration
	// DialTimeout is the time limit for opening a connection; zero means 1 s.
	DialTimeout time.Duration
	// ReleaseTimeout is how long a closed connection waits for the target to
	// close its side; zero means 500 ms. It should be shorter than
	// DialTimeout, since a dial may have to wait for it.
	ReleaseTimeout time.Duration
	// MaxReply is the maximum size of a reply body in bytes; zero means 8 MiB.
	MaxReply int64
	// MaxClockSkew is the maximum error between the wall clocks of this process and a
	// target. It is subtracted from the deadline that is sent to a target.
	MaxClockSkew time.Duration
	// OnState, if set, is called for each change of a target's state, in order
	// and one call at a time per target. When a connection breaks while others
	// are open, Down is followed by Up.
	OnState func(magnoliashore.TargetID, State)

	opening sync.Mutex // serializes Open and Close

	mu      sync.Mutex
	entries map[magnoliashore.TargetID]*entry
}

// entry is the state of one target in a pool. Its link is nil while the target
// is closed. Its quota is replaced when the target's address changes.
type entry struct {
	notifier *notifier
	quota    *quota
	link     *link
}

var _ magnoliashore.Sender = (*Pool)(nil)

// Open defines a target that accepts maxConns connections. If its address or
// maxConns has changed, new work gets new connections. The old ones finish
// their work and count against maxConns unless the address has changed.
// OnState must not call Open.
func (p *Pool) Open(t magnoliashore.Target, maxConns int) {
	p.opening.Lock()
	defer p.opening.Unlock()
	maxConns = max(maxConns, 1)
	e := p.entry(t.ID())
	old := p.currentLink(t.ID())
	if old != nil && old.target.Address() == t.Address() && old.maxConns == maxConns {
		return
	}
	if old != nil {
		old.retire()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.quota == nil || e.quota.address != t.Address() {
		e.quota = &quota{address: t.Address()}
	}
	e.link = p.newLink(t, maxConns, e)
}

// Close stops new work to a target. Idle connections are closed at once, the
// others when their work has finished. OnState must not call Close.
func (p *Pool) Close(id magnoliashore.TargetID) {
	p.opening.Lock()
	defer p.opening.Unlock()
	old := p.currentLink(id)
	if old == nil {
		return
	}
	p.mu.Lock()
	p.entries[id].link = nil
	p.mu.Unlock()
	old.retire()
}

// Conns returns the number of open connections to a target, including those
// that finish their work after Close, or after Open has changed the limit at
// the same address.
func (p *Pool) Conns(id magnoliashore.TargetID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.entries[id]
	if e == nil || e.quota == nil {
		return 0
	}
	return e.quota.numEstablished()
}

// ReportedBreaks returns the number of broken connections to a target that have
// been reported to OnState.
func (p *Pool) ReportedBreaks(id magnoliashore.TargetID) uint64 {
	return p.entry(id).notifier.reportedBreaks.Load()
}

// entry returns the entry of a target and creates it if there is none.
func (p *Pool) entry(id magnoliashore.TargetID) *entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.entries == nil {
		p.entries = make(map[magnoliashore.TargetID]*entry)
	}
	e := p.entries[id]
	if e == nil {
		e = &entry{notifier: &notifier{report: func(s State) { p.report(id, s) }}}
		p.entries[id] = e
	}
	return e
}

// currentLink returns the link for new work; nil if the target is closed.
func (p *Pool) currentLink(id magnoliashore.TargetID) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.entries[id]; e != nil {
		return e.link
	}
	return nil
}

// link returns the link to a target; nil if the target is not open at its
// address.
func (p *Pool) link(t magnoliashore.Target) *link {
	l := p.currentLink(t.ID())
	if l == nil || l.target.Address() != t.Address() {
		return nil
	}
	return l
}

func (p *Pool) report(id magnoliashore.TargetID, s State) {
	if p.OnState != nil {
		p.OnState(id, s)
	}
}

func (p *Pool) dialTimeout() time.Duration {
	if p.DialTimeout <= 0 {
		return defaultDialTimeout
	}
	return p.DialTimeout
}

func (p *Pool) maxReply() int64 {
	if p.MaxReply <= 0 {
		return defaultMaxReply
	}
	return p.MaxReply
}

func (p *Pool) releaseTimeout() time.Duration {
	if p.ReleaseTimeout <= 0 {
		return defaultReleaseTimeout
	}
	return p.ReleaseTimeout
}
