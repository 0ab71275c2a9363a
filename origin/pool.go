// Package origin is an HTTP/1.1 client for targets. Each attempt sends its request
// at most once and reports whether any byte of it may have reached the target.
package origin

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/tcp"
	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	dialTimeout = time.Second             // many times the round-trip time within a region
	userTimeout = 1500 * time.Millisecond // long enough to retransmit one lost segment
)

// Request is a request to a target. All its attempts share it.
type Request struct {
	Method   string
	URI      string // path and query as sent by the caller
	Host     string
	Header   http.Header // without hop-by-hop fields
	Body     []byte
	Stream   *Stream // rest of the body after Body; nil if Body is complete
	ID       string  // request ID, which targets may echo in their answers
	Priority int     // lower is more urgent, starting at zero
	// AllowTail permits returning the rest of a long answer as a Tail.
	AllowTail bool
}

// Attempt holds the parameters of one attempt of a request.
type Attempt struct {
	Target         *catalog.Target
	Timeout        time.Duration // time left for the answer
	MaxConnections int           // limit on this host's connections to the target
	MaxWaiting     int           // limit on requests waiting for a connection
	OnSend         func()        // called just before the request is sent; may be nil
	// Withdraw is closed when the request must not be sent any more, if it is not yet;
	// nil for never.
	Withdraw <-chan struct{}
}

// Result is the outcome of an attempt.
type Result struct {
	Target        *catalog.Target
	Status        int // HTTP status; zero without an answer
	Header        http.Header
	Body          []byte
	Tail          *Tail // rest of the body after Body; nil if Body is complete
	Reply         magnoliashore.TargetReply
	Sent          bool          // bytes of the request may have reached the target
	NewConnection bool          // the connection was opened for this attempt
	Took          time.Duration // since the connection was acquired; the wait for one if that failed
	Err           error         // reason for a missing or incomplete answer
}

// Broken reports whether the connection ended after the request was sent and before
// a complete answer, so that the target may have ended while it ran the request.
func (r Result) Broken() bool { return r.Sent && r.Status == 0 && ConnectionEnded(r.Err) }

// Inconclusive reports whether the attempt says nothing about its target: this host has
// not tried to reach it.
func (r Result) Inconclusive() bool {
	return errors.IsAny(r.Err, ErrNoConnection, ErrTargetGone, ErrWithdrawn, ErrExhausted)
}

// ConnectionEnded reports whether err says that the other side ended a connection.
func ConnectionEnded(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, unix.ECONNRESET, unix.EPIPE)
}

// NotRun reports whether it is certain that the request has not run and never
// will.
func (r Result) NotRun() bool { return !r.Sent || (r.Status != 0 && r.Reply.NotRun) }

// Ran reports whether the target ran the request successfully, as shown by a 2xx
// status and a signature.
func (r Result) Ran() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices && r.Reply.Signature != ""
}

// Pool holds the connections to all targets. The exported fields must be set
// before the first attempt.
type Pool struct {
	Dialect magnoliashore.Dialect
	Timer   *timer.Service
	MaxBody int64 // size limit, in bytes, of an answer that is buffered whole
	// MaxBuffered is the number of bytes of an answer to buffer before it is
	// streamed as a Tail, if the request allows one; zero disables streaming.
	MaxBuffered int64
	// MaxHeld is the most bytes that long answers hold together while they are read or
	// passed on. If it is reached, an answer is streamed sooner, or fails with ErrTooLong if
	// it must be buffered whole; zero for no limit.
	MaxHeld int64
	// Lookup returns a target that may get requests, or nil. Attempts at targets that it
	// does not return any more, or returns with another address, are ended by Retain
	// unless they were sent. If Lookup is nil, all targets may get requests.
	Lookup func(id magnoliashore.TargetID) *catalog.Target
	// OnLeaving is called for each answer in which a target says that it leaves, also if
	// nobody waits for the answer any more or its body breaks off; may be nil.
	OnLeaving func(t *catalog.Target)
	// Dial opens connections to targets; nil for TCP with the timeouts of this package.
	Dial DialFunc

	held heldBytes

	mu    sync.Mutex
	conns map[magnoliashore.TargetID]*connList
}

// Held returns how many bytes count against MaxHeld.
func (p *Pool) Held() int64 { return p.held.used.Load() }

// DialFunc opens a connection to an ip:port.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dial returns the function that opens connections to targets. If this host lacks
// descriptors, it closes the idle connections to all targets and tries again.
func (p *Pool) dial() DialFunc {
	dial := p.Dial
	if dial == nil {
		dial = tcp.Dialer(dialTimeout, userTimeout).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil && tcp.Exhausted(err) {
			p.closeIdle()
			c, err = dial(ctx, network, address)
		}
		return c, err
	}
}

// closeIdle closes the idle connections to all targets.
func (p *Pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.conns {
		l.dropIdle()
	}
}

// connsTo returns the connections to a target, or ErrTargetGone if it has left or has
// another address by now. If its address has changed, the connections to the former
// address are retired.
func (p *Pool) connsTo(t *catalog.Target) (*connList, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = make(map[magnoliashore.TargetID]*connList)
	}
	l, ok := p.conns[t.ID()]
	if ok && l.address == t.Address() {
		return l, nil
	}
	if !p.uses(t.ID(), t.Address()) {
		return nil, ErrTargetGone
	}
	if ok {
		l.retire()
	}
	l = newConnList(t.Address(), p.dial())
	p.conns[t.ID()] = l
	return l, nil
}

// uses reports whether a target may get requests at an address.
func (p *Pool) uses(id magnoliashore.TargetID, address string) bool {
	if p.Lookup == nil {
		return true
	}
	t := p.Lookup(id)
	return t != nil && t.Address() == address
}

// answerPatience is how long a request may be without an answer before its connection
// is distrusted together with the idle ones.
const answerPatience = 300 * time.Millisecond

// DistrustKept makes further requests use new connections: those that are open may have
// become silent. Requests in flight go on.
func (p *Pool) DistrustKept() {
	before := p.Timer.Now().Add(-answerPatience)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.conns {
		l.distrust(before)
	}
}

// Retain drops the targets that Lookup does not return any more, or returns with another
// address. It must be called after each change of them.
func (p *Pool) Retain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.conns {
		if p.uses(id, l.address) {
			continue
		}
		l.retire()
		delete(p.conns, id)
	}
}
