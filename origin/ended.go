package origin

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/tcp"
)

// settleAfterEnd is how long a process that ends may still accept connections after
// it has closed others.
const settleAfterEnd = 50 * time.Millisecond

// HasEnded connects to a target whose connections broke, and reports whether its
// process has ended: it refuses connections. A target that cannot be reached is not
// known to have ended. A connection that opens is kept for reuse if fewer than
// maxConnections are open.
func (p *Pool) HasEnded(ctx context.Context, t *catalog.Target, maxConnections int) bool {
	for range 2 {
		raw, err := p.dial()(ctx, "tcp4", t.Address())
		if err != nil {
			return errors.Is(err, unix.ECONNREFUSED)
		}
		c := newConn(raw)
		p.Timer.Sleep(settleAfterEnd)
		if !c.readable() {
			p.adopt(c, t, maxConnections)
			return false
		}
		_ = c.Close()
	}
	return false
}

// Connects reports whether a connection to a target opens, which it closes again. It
// returns ErrExhausted if this host cannot find out.
func (p *Pool) Connects(ctx context.Context, t *catalog.Target) (bool, error) {
	c, err := p.dial()(ctx, "tcp4", t.Address())
	if err != nil && tcp.Exhausted(err) {
		return false, errors.Mark(err, ErrExhausted)
	}
	if err != nil {
		return false, nil
	}
	return true, c.Close()
}

// DropIdle closes the idle connections to a target, which may be silent.
func (p *Pool) DropIdle(id magnoliashore.TargetID) {
	p.mu.Lock()
	l, ok := p.conns[id]
	p.mu.Unlock()
	if ok {
		l.dropIdle()
	}
}

// adopt keeps a connection to a target for reuse, unless the target has left.
func (p *Pool) adopt(c *conn, t *catalog.Target, maxConnections int) {
	l, err := p.connsTo(t)
	if err != nil {
		_ = c.Close()
		return
	}
	l.adopt(c, p.Timer.Now(), maxConnections)
}

// adopt takes over a connection that was opened beside the others.
func (l *connList) adopt(c *conn, now time.Time, maxOpen int) {
	l.mu.Lock()
	room := l.numOpen < maxOpen && l.gone.Err() == nil
	if room {
		l.numOpen++
	}
	l.mu.Unlock()
	if !room {
		_ = c.Close()
		return
	}
	c.idleSince = now
	l.put(c)
}
