package target

import (
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

const (
	defaultDial    = time.Second
	defaultRelease = 500 * time.Millisecond
	defaultLimit   = 8 << 20 // bytes of a reply body
)

// Pool holds the connections to a set of targets. Its exported fields are set
// before first use and not changed afterwards. It is safe for concurrent use.
type Pool struct {
	// Clock tells the time; it is required.
	Clock magnoliashore.Clock
	// UserTimeout is how long written bytes may stay unacknowledged before
	// the kernel drops the connection; zero leaves the kernel's default.
	UserTimeout time.Duration
	// DialTimeout is the time limit for opening a connection; zero means 1 s.
	DialTimeout time.Duration
	// Release is how long a closed connection waits for the target to close
	// its side; zero means 500 ms. It should be below DialTimeout, since a dial may
	// have to wait for it.
	Release time.Duration
	// Limit is the size in bytes of the largest reply body; zero means 8 MiB.
	Limit int64
	// Skew is the largest error between this process's wall clock and a
	// target's. It is taken off the deadline that a target is told.
	Skew time.Duration
	// OnState, if set, is called for each change of a target's state, one
	// call at a time for each target and in order. When a connection breaks
	// while others stand, Down is followed by Up.
	OnState func(magnoliashore.TargetID, State)

	opening sync.Mutex // serializes Open and Close

	mu    sync.Mutex
	books map[magnoliashore.TargetID]*book
}

// book is what a pool holds of one target. Its link is nil while the target is
// closed; its quota is replaced when the target's address changes.
type book struct {
	notes *notes
	quota *quota
	link  *link
}

var _ magnoliashore.Sender = (*Pool)(nil)

// Open defines a target that accepts conns connections. If its address or
// conns differ from what was defined before, new work gets new connections;
// the old ones finish their work, and while the address stays they count
// against conns. OnState must not call Open.
func (p *Pool) Open(t magnoliashore.Target, conns int) {
	p.opening.Lock()
	defer p.opening.Unlock()
	conns = max(conns, 1)
	b := p.book(t.ID())
	old := p.current(t.ID())
	if old != nil && old.target.Address() == t.Address() && old.conns == conns {
		return
	}
	if old != nil {
		old.retire()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.quota == nil || b.quota.address != t.Address() {
		b.quota = &quota{address: t.Address()}
	}
	b.link = p.newLink(t, conns, b)
}

// Close ends new work to a target. Idle connections are closed at once, the
// others when their work is finished. OnState must not call Close.
func (p *Pool) Close(id magnoliashore.TargetID) {
	p.opening.Lock()
	defer p.opening.Unlock()
	old := p.current(id)
	if old == nil {
		return
	}
	p.mu.Lock()
	p.books[id].link = nil
	p.mu.Unlock()
	old.retire()
}

// Conns returns the number of connections to a target that stand now,
// including those that finish their work after Close, or after Open changed
// the limit at the same address.
func (p *Pool) Conns(id magnoliashore.TargetID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.books[id]
	if b == nil || b.quota == nil {
		return 0
	}
	return b.quota.standing()
}

// Era returns how many breaks of a target's connections OnState has been called
// for.
func (p *Pool) Era(id magnoliashore.TargetID) uint64 { return p.book(id).notes.told.Load() }

// book returns the book of a target, a new one if there is none.
func (p *Pool) book(id magnoliashore.TargetID) *book {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.books == nil {
		p.books = make(map[magnoliashore.TargetID]*book)
	}
	b := p.books[id]
	if b == nil {
		b = &book{notes: &notes{report: func(s State) { p.report(id, s) }}}
		p.books[id] = b
	}
	return b
}

// current returns the link that new work uses; nil if the target is closed.
func (p *Pool) current(id magnoliashore.TargetID) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.books[id]; b != nil {
		return b.link
	}
	return nil
}

// link returns the link to a target; nil if it is not open at its address.
func (p *Pool) link(t magnoliashore.Target) *link {
	l := p.current(t.ID())
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

func (p *Pool) dial() time.Duration {
	if p.DialTimeout <= 0 {
		return defaultDial
	}
	return p.DialTimeout
}

func (p *Pool) limit() int64 {
	if p.Limit <= 0 {
		return defaultLimit
	}
	return p.Limit
}

func (p *Pool) release() time.Duration {
	if p.Release <= 0 {
		return defaultRelease
	}
	return p.Release
}
