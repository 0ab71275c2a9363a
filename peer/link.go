package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/tcp"
	"github.com/magnoliashore/magnoliashore/timer"
)

// Path is the URL path of the WebSocket between entry hosts, and SeatHeader
// the header in which the dialling host names itself.
const (
	Path       = "/peer"
	SeatHeader = "Seat"
)

// Waiting times between two attempts to reach a peer.
const (
	redialFirst = 50 * time.Millisecond
	redialMost  = 800 * time.Millisecond
)

// ErrLink says that the link has no connection or no room now.
var ErrLink = errors.New("no connection to the entry host")

// Link carries this host's requests to one other seat. Set the exported
// fields before Run.
type Link struct {
	Self             magnoliashore.HostID
	Seat             magnoliashore.Seat
	Codec            *Codec
	Timer            *timer.Service
	Traffic          *Traffic                  // counts control frames; may be nil
	Order            func() uint64             // reads the logical clock before a send
	Witness          func(order uint64)        // moves the logical clock past a peer's
	OnHeartbeatReply func(beat HeartbeatReply) // takes each heartbeat reply
	OnValues         func(values Values)       // takes each reply to a Fetch
	OnConnection     func(up bool)             // takes each change of the connection
	OnMalformed      func(err error)           // takes each malformed frame

	mu      sync.Mutex
	current *outgoing
	next    atomic.Uint64
}

// outgoing is the state of one connection of a Link.
type outgoing struct {
	*session
	subs     map[uint64]*pendingSub
	forwards map[uint64]*pendingForward
}

type pendingSub struct {
	sub     magnoliashore.Sub
	reply   func(magnoliashore.SubAnswer)
	written bool
}

type pendingForward struct {
	reply   func(answer magnoliashore.Answer, ran bool)
	written bool
}

// Run keeps a connection to the seat until ctx ends.
func (l *Link) Run(ctx context.Context) {
	wait := redialFirst
	for ctx.Err() == nil {
		if conn, err := l.dial(ctx); err == nil {
			wait = redialFirst
			l.serve(ctx, conn)
		}
		pause := l.Timer.After(timer.Jitter(wait))
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
		wait = min(2*wait, redialMost)
	}
}

func (l *Link) dial(ctx context.Context) (*websocket.Conn, error) {
	network := tcp.Dialer(handshakeTime, userTimeout)
	dialer := websocket.Dialer{NetDialContext: network.DialContext, HandshakeTimeout: handshakeTime}
	header := http.Header{SeatHeader: []string{string(l.Self)}}
	conn, response, err := dialer.DialContext(ctx, "ws://"+l.Seat.Peer()+Path, header)
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	return conn, magnoliashore.Step(err, "dialling entry host", string(l.Seat.Host()))
}

func (l *Link) serve(ctx context.Context, conn *websocket.Conn) {
	o := &outgoing{
		session:  newSession(conn, l.Codec, l.Traffic, l.Order),
		subs:     make(map[uint64]*pendingSub),
		forwards: make(map[uint64]*pendingForward),
	}
	o.ready = func(message any) (any, bool) { return l.beforeWrite(o, message) }
	l.mu.Lock()
	l.current = o
	l.mu.Unlock()
	l.OnConnection(true)
	written := make(chan struct{})
	go func() {
		defer close(written)
		o.write(ctx)
	}()
	l.readAll(o)
	close(o.done)
	<-written
	l.drop(o)
	l.OnConnection(false)
}

func (l *Link) readAll(o *outgoing) {
	for {
		message, err := o.read()
		if errors.Is(err, errFrame) {
			l.OnMalformed(err)
			continue
		}
		if err != nil {
			return
		}
		l.receive(o, message)
	}
}

func (l *Link) receive(o *outgoing, message any) {
	switch m := message.(type) {
	case HeartbeatReply:
		l.Witness(m.Info.Order)
		l.OnHeartbeatReply(m)
	case Answers:
		l.Witness(m.Order)
		for _, answer := range m.List {
			l.settle(o, answer)
		}
	case Values:
		l.OnValues(m)
	case Forwarded:
		l.settleForward(o, m)
	default:
		l.OnMalformed(errors.Newf("message %T is not for a link", message))
	}
}

// settle delivers an answer to the sub-request with its number. An answer
// without one, or for another partition or target, is dropped.
func (l *Link) settle(o *outgoing, answer magnoliashore.SubAnswer) {
	l.mu.Lock()
	p, ok := o.subs[answer.ID()]
	if ok && (p.sub.Partition() != answer.Partition() || p.sub.Target() != answer.Target()) {
		ok = false
	}
	if ok {
		delete(o.subs, answer.ID())
	}
	l.mu.Unlock()
	if ok {
		p.reply(answer)
	}
}

func (l *Link) settleForward(o *outgoing, m Forwarded) {
	l.mu.Lock()
	p, ok := o.forwards[m.ID]
	delete(o.forwards, m.ID)
	l.mu.Unlock()
	if ok {
		p.reply(m.Answer, true)
	}
}

// drop answers everything that waits on a connection that is gone.
func (l *Link) drop(o *outgoing) {
	l.mu.Lock()
	if l.current == o {
		l.current = nil
	}
	subs, forwards := o.subs, o.forwards
	o.subs, o.forwards = nil, nil
	l.mu.Unlock()
	for _, p := range subs {
		p.reply(lostAnswer(p))
	}
	for _, p := range forwards {
		p.reply(magnoliashore.Answer{}, false)
	}
}

func lostAnswer(p *pendingSub) magnoliashore.SubAnswer {
	if p.written {
		return magnoliashore.Lose(p.sub, magnoliashore.ReasonLost)
	}
	return magnoliashore.Refuse(p.sub, magnoliashore.ReasonUnreachable, 0)
}

// beforeWrite takes cancelled sub-requests out of a batch and marks the rest
// as written: from here on a broken connection leaves their outcome unknown.
func (l *Link) beforeWrite(o *outgoing, message any) (any, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch m := message.(type) {
	case Batch:
		kept := m.Subs[:0:0]
		for _, sub := range m.Subs {
			if p, ok := o.subs[sub.ID()]; ok {
				p.written = true
				kept = append(kept, sub)
			}
		}
		return Batch{Order: l.Order(), Subs: kept}, len(kept) > 0
	case Forward:
		if p, ok := o.forwards[m.ID]; ok {
			p.written = true
		}
		return m, true
	default:
		return message, true
	}
}

// Connected reports whether a connection stands.
func (l *Link) Connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current != nil
}

// Submit sends the sub-requests of one query to the owner. reply gets the one
// final answer of each; it must not block.
func (l *Link) Submit(subs []magnoliashore.Sub, reply func(magnoliashore.SubAnswer)) {
	l.mu.Lock()
	o := l.current
	accepted := o != nil && o.subs != nil
	if accepted {
		for _, sub := range subs {
			o.subs[sub.ID()] = &pendingSub{sub: sub, reply: reply}
		}
		if !o.outbox.Push(Batch{Subs: subs}) {
			accepted = false
			for _, sub := range subs {
				delete(o.subs, sub.ID())
			}
		}
	}
	l.mu.Unlock()
	if accepted {
		return
	}
	for _, sub := range subs {
		reply(magnoliashore.Refuse(sub, magnoliashore.ReasonUnreachable, 0))
	}
}

// Cancel withdraws sub-requests: they get no answer any more, and the owner
// is told to stop their work.
func (l *Link) Cancel(ids []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.current
	if o == nil {
		return
	}
	kept := make([]uint64, 0, len(ids))
	for _, id := range ids {
		if p, ok := o.subs[id]; ok {
			delete(o.subs, id)
			if p.written {
				kept = append(kept, id)
			}
		}
	}
	if len(kept) > 0 {
		o.outbox.Push(Cancel{IDs: kept})
	}
}

// Send passes a Heartbeat or Fetch; false means that there is no connection
// or no room.
func (l *Link) Send(message any) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current != nil && l.current.outbox.Push(message)
}

// Forward passes a query to the host and returns its answer. The error is
// ErrLink if the query was certainly not passed on, and context.Canceled or
// another error if that is not known.
func (l *Link) Forward(ctx context.Context, query magnoliashore.Query) (magnoliashore.Answer, error) {
	type result struct {
		answer magnoliashore.Answer
		ran    bool
	}
	results := make(chan result, 1)
	id := l.next.Add(1)
	p := &pendingForward{reply: func(answer magnoliashore.Answer, ran bool) { results <- result{answer, ran} }}
	if !l.startForward(id, p, query) {
		return magnoliashore.Answer{}, ErrLink
	}
	select {
	case r := <-results:
		if !r.ran {
			return magnoliashore.Answer{}, errors.Wrap(net.ErrClosed, "forwarding a query")
		}
		return r.answer, nil
	case <-ctx.Done():
		return magnoliashore.Answer{}, ctx.Err()
	}
}

func (l *Link) startForward(id uint64, p *pendingForward, query magnoliashore.Query) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.current
	if o == nil || o.forwards == nil {
		return false
	}
	o.forwards[id] = p
	if o.outbox.Push(Forward{ID: id, Query: query}) {
		return true
	}
	delete(o.forwards, id)
	return false
}
