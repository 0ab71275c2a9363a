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

// Path is the URL path of the WebSocket between entry hosts. SeatHeader is the
// header field with the name of the host that connects.
const (
	Path       = "/peer"
	SeatHeader = "Seat"
)

// Waiting times between two attempts to connect.
const (
	minRedialWait = 50 * time.Millisecond
	maxRedialWait = 800 * time.Millisecond
)

// ErrNotConnected means that a message was not sent: the link has no connection,
// or its outbox is full.
var ErrNotConnected = errors.New("no connection to the entry host")

// Link sends this host's requests to the host of one other seat. Set the
// exported fields before Run.
type Link struct {
	Self             magnoliashore.HostID
	Seat             magnoliashore.Seat
	Codec            *Codec
	Timer            *timer.Service
	Traffic          *Traffic                   // counts control frames; may be nil
	Order            func() uint64              // returns the logical clock for a message to send
	Witness          func(order uint64)         // moves the logical clock past that of a received message
	OnHeartbeatReply func(reply HeartbeatReply) // receives each reply to a heartbeat
	OnValues         func(values Values)        // receives each reply to a Fetch
	OnConnection     func(connected bool)       // is called when a connection is made or lost
	OnMalformed      func(err error)            // receives the error of each malformed frame

	mu            sync.Mutex
	current       *outgoing // nil without a connection
	lastForwardID atomic.Uint64
}

// outgoing is the state of one connection of a Link.
type outgoing struct {
	*session
	subs     map[uint64]*pendingSub     // by ID; nil once the connection is lost
	forwards map[uint64]*pendingForward // by ID; nil once the connection is lost
}

// pendingSub is a sub-request without a final answer.
type pendingSub struct {
	sub     magnoliashore.Sub
	reply   func(magnoliashore.SubAnswer)
	written bool
}

// pendingForward is a forwarded query without an answer.
type pendingForward struct {
	reply   func(answer magnoliashore.Answer, received bool)
	written bool
}

// Run keeps a connection to the seat, and reconnects when it is lost, until ctx
// ends.
func (l *Link) Run(ctx context.Context) {
	wait := minRedialWait
	for ctx.Err() == nil {
		if conn, err := l.dial(ctx); err == nil {
			wait = minRedialWait
			l.serve(ctx, conn)
		}
		pause := l.Timer.After(timer.Jitter(wait))
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
		wait = min(2*wait, maxRedialWait)
	}
}

func (l *Link) dial(ctx context.Context) (*websocket.Conn, error) {
	network := tcp.Dialer(handshakeTimeout, userTimeout)
	dialer := websocket.Dialer{NetDialContext: network.DialContext, HandshakeTimeout: handshakeTimeout}
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
	o.beforeWrite = func(message any) (any, bool) { return l.beforeWrite(o, message) }
	l.mu.Lock()
	l.current = o
	l.mu.Unlock()
	l.OnConnection(true)
	written := make(chan struct{})
	go func() {
		defer close(written)
		o.writeLoop(ctx)
	}()
	l.readLoop(o)
	close(o.done)
	<-written
	l.failPending(o)
	l.OnConnection(false)
}

func (l *Link) readLoop(o *outgoing) {
	for {
		message, err := o.read()
		if errors.Is(err, errMalformed) {
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
			l.deliver(o, answer)
		}
	case Values:
		l.OnValues(m)
	case Forwarded:
		l.deliverForwarded(o, m)
	default:
		l.OnMalformed(errors.Newf("unexpected message %T on a link", message))
	}
}

// deliver passes an answer to the sub-request with its ID. An answer with an
// unknown ID, or for another partition or target, is dropped.
func (l *Link) deliver(o *outgoing, answer magnoliashore.SubAnswer) {
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

func (l *Link) deliverForwarded(o *outgoing, m Forwarded) {
	l.mu.Lock()
	p, ok := o.forwards[m.ID]
	delete(o.forwards, m.ID)
	l.mu.Unlock()
	if ok {
		p.reply(m.Answer, true)
	}
}

// failPending answers everything that is pending on a lost connection.
func (l *Link) failPending(o *outgoing) {
	l.mu.Lock()
	if l.current == o {
		l.current = nil
	}
	subs, forwards := o.subs, o.forwards
	o.subs, o.forwards = nil, nil
	l.mu.Unlock()
	for _, p := range subs {
		p.reply(failedAnswer(p))
	}
	for _, p := range forwards {
		p.reply(magnoliashore.Answer{}, false)
	}
}

// failedAnswer returns the answer to a sub-request on a lost connection: unknown
// if it was written, else not run.
func failedAnswer(p *pendingSub) magnoliashore.SubAnswer {
	if p.written {
		return magnoliashore.Lose(p.sub, magnoliashore.ReasonLost)
	}
	return magnoliashore.Refuse(p.sub, magnoliashore.ReasonUnreachable, 0)
}

// beforeWrite removes cancelled sub-requests from a batch and marks the others
// as written: if the connection breaks from now on, their outcome is unknown.
// It returns false if there is nothing left to write.
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

// Connected reports whether there is a connection.
func (l *Link) Connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current != nil
}

// Submit sends the sub-requests of one query to the owner of their targets. It
// calls reply once for each with its final answer; reply must not block.
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

// Cancel cancels sub-requests. They get no answer, and the owner receives a
// Cancel for those that were written.
func (l *Link) Cancel(ids []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.current
	if o == nil {
		return
	}
	written := make([]uint64, 0, len(ids))
	for _, id := range ids {
		if p, ok := o.subs[id]; ok {
			delete(o.subs, id)
			if p.written {
				written = append(written, id)
			}
		}
	}
	if len(written) > 0 {
		o.outbox.Push(Cancel{IDs: written})
	}
}

// Send queues a Heartbeat or Fetch. It returns false if there is no connection
// or the outbox is full.
func (l *Link) Send(message any) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current != nil && l.current.outbox.Push(message)
}

// Forward sends a query to the host and returns its answer. The error is
// ErrNotConnected if the query was certainly not sent. With any other error, such
// as context.Canceled, the query may have been sent.
func (l *Link) Forward(ctx context.Context, query magnoliashore.Query) (magnoliashore.Answer, error) {
	type result struct {
		answer   magnoliashore.Answer
		received bool
	}
	results := make(chan result, 1)
	id := l.lastForwardID.Add(1)
	p := &pendingForward{reply: func(answer magnoliashore.Answer, received bool) { results <- result{answer, received} }}
	if !l.startForward(id, p, query) {
		return magnoliashore.Answer{}, ErrNotConnected
	}
	select {
	case r := <-results:
		if !r.received {
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
