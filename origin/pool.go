// Package origin speaks HTTP/1.1 to targets. An exchange sends its request at
// most once and says whether a byte of it may have reached the target.
package origin

import (
	"net/http"
	"sync"
	"time"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/tcp"
	"github.com/magnoliashore/magnoliashore/timer"
)

const (
	dialTimeout = time.Second             // many times the round trip inside a region
	userTimeout = 1500 * time.Millisecond // outlasts one lost segment
)

// Request is one request to a target, the same for all its attempts.
type Request struct {
	Method   string
	URI      string // path and query as the caller sent them
	Host     string
	Header   http.Header // without fields that concern one connection
	Body     []byte
	Stream   *Stream // what follows Body; nil if Body is whole
	ID       string  // that targets repeat
	Priority int     // lower is more urgent; zero is the most urgent
	// AllowTail says that the rest of a long answer may follow as a Tail.
	AllowTail bool
}

// Attempt holds the parameters of one attempt of a request.
type Attempt struct {
	Target         *catalog.Target
	Timeout        time.Duration // time left for the answer
	MaxConnections int           // limit on connections to the target
	MaxWaiting     int           // limit on requests waiting for a connection
}

// Result is the outcome of an exchange.
type Result struct {
	Status        int // zero if there is no answer
	Header        http.Header
	Body          []byte
	Tail          *Tail // what follows Body; nil if Body is whole
	Reply         magnoliashore.TargetReply
	Sent          bool // a byte of the request may have reached the target
	NewConnection bool // the request needed a new connection
	Took          time.Duration
	Err           error // why there is no complete answer
}

// NotRun reports whether the request certainly did not run and never will.
func (r Result) NotRun() bool { return !r.Sent || (r.Status != 0 && r.Reply.NotRun) }

// Ran reports whether the target ran the request with success.
func (r Result) Ran() bool {
	return r.Status >= http.StatusOK && r.Status < http.StatusMultipleChoices && r.Reply.Proof != ""
}

// Pool keeps the connections to all targets. Set the exported fields before
// the first exchange.
type Pool struct {
	Dialect magnoliashore.Dialect
	Timer   *timer.Service
	MaxBody int64 // bytes of an answer that is held whole
	// MaxBuffered is the number of bytes of an answer to buffer before it is
	// streamed as a Tail, if the request allows one; zero disables streaming.
	MaxBuffered int64

	mu    sync.Mutex
	conns map[magnoliashore.TargetID]*connList
}

func (p *Pool) connsTo(t *catalog.Target) *connList {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = make(map[magnoliashore.TargetID]*connList)
	}
	l, ok := p.conns[t.ID()]
	if ok && l.address == t.Address() {
		return l
	}
	if ok {
		l.retire()
	}
	l = &connList{address: t.Address(), dialer: tcp.Dialer(dialTimeout, userTimeout)}
	p.conns[t.ID()] = l
	return l
}

// Retain closes the idle connections to targets that are not in the view.
func (p *Pool) Retain(known func(id magnoliashore.TargetID) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, l := range p.conns {
		if known(id) {
			continue
		}
		l.retire()
		delete(p.conns, id)
	}
}
