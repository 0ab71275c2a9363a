package relay

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/tcp"
	"github.com/magnoliashore/magnoliashore/timer"
)

// Path is the URL path of the WebSocket between hosts.
const Path = "/relay"

const (
	dialTimeout  = 500 * time.Millisecond // a hundred round trips inside a region
	userTimeout  = time.Second            // after which unacknowledged bytes end a connection
	writeTimeout = time.Second
	redial       = 200 * time.Millisecond // between two attempts to reach a host
	bundleQueue  = 16                     // bundles of one ask that wait for their reader
	silence      = 500 * time.Millisecond // past the time when a batch is to be answered
)

// ErrNotConnected says that a batch was not sent.
var ErrNotConnected = errors.New("no connection to the host")

// Link carries batches to one other host. Set the exported fields before the
// first Ask.
type Link struct {
	Peer  string // ip:port
	Timer *timer.Service
	Log   log.Interface

	mu     sync.Mutex
	socket *websocket.Conn
	tried  time.Time // when it was last dialled
	trying bool      // a dial is under way
	asks   map[uint64]*Call
	number uint64

	writing sync.Mutex
}

// Call is a batch on its way. Bundles is closed after the last bundle, or
// when the link is lost.
type Call struct {
	Results <-chan Result

	link   *Link
	number uint64
	size   int
	sink   chan Result
	until  time.Time // when the link is given up without a bundle
	heard  bool
}

// Connected reports whether batches can be sent.
func (l *Link) Connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	return l.socket != nil
}

// Send sends a batch. ErrLink means that it was not sent.
func (l *Link) Send(ask Request) (*Call, error) {
	socket, err := l.connect()
	if err != nil {
		return nil, errors.Mark(err, ErrNotConnected)
	}
	call := l.register(socket, ask)
	if call == nil {
		return nil, ErrNotConnected
	}
	if err := l.write(socket, wireFrame{Kind: kindAsk, Number: call.number, Ask: encodeAsk(ask)}); err != nil {
		l.drop(socket, err)
		// Part of the frame may have arrived, but a host acts on whole ones.
		return nil, errors.Mark(err, ErrNotConnected)
	}
	return call, nil
}

func (l *Link) register(socket *websocket.Conn, ask Request) *Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket != socket {
		return nil
	}
	l.number++
	sink := make(chan Result, bundleQueue)
	call := &Call{
		Results: sink, link: l, number: l.number, size: len(ask.Shards), sink: sink,
		until: l.Timer.Now().Add(min(ask.PartialAfter, ask.Timeout) + silence),
	}
	l.asks[call.number] = call
	return call
}

// Cancel says that nothing more of the batch is needed.
func (c *Call) Cancel() {
	l := c.link
	l.mu.Lock()
	_, open := l.asks[c.number]
	socket := l.socket
	delete(l.asks, c.number)
	l.mu.Unlock()
	if !open || socket == nil {
		return
	}
	if err := l.write(socket, wireFrame{Kind: kindCancel, Number: c.number}); err != nil {
		l.drop(socket, err)
	}
}

// connect returns the connection. If there is none, it has one opened and
// returns ErrLink, so that no batch waits for it.
func (l *Link) connect() (*websocket.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	if l.socket != nil {
		return l.socket, nil
	}
	if now := l.Timer.Now(); !l.trying && now.Sub(l.tried) > redial {
		l.tried = now
		l.trying = true
		go l.dial()
	}
	return nil, ErrNotConnected
}

// dial opens the connection; batches go elsewhere meanwhile.
func (l *Link) dial() {
	dialer := websocket.Dialer{
		NetDialContext:   tcp.Dialer(dialTimeout, userTimeout).DialContext,
		HandshakeTimeout: dialTimeout,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*dialTimeout)
	defer cancel()
	socket, resp, err := dialer.DialContext(ctx, "ws://"+l.Peer+Path, nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	l.mu.Lock()
	l.trying = false
	if err != nil {
		l.mu.Unlock()
		l.Log.WithError(err).WithField("peer", l.Peer).Info("cannot reach the host")
		return
	}
	socket.SetReadLimit(maxFrame)
	l.socket = socket
	l.asks = make(map[uint64]*Call)
	l.mu.Unlock()
	l.Log.WithField("peer", l.Peer).Info("connected to the host")
	l.read(socket)
}

// Connect opens the connection ahead of the first batch.
func (l *Link) Connect() { _, _ = l.connect() }

// expire gives the connection up if a batch is unanswered for too long: it
// may be silent for good.
func (l *Link) expire() {
	now := l.Timer.Now()
	for _, call := range l.asks {
		if !call.heard && now.After(call.until) && l.socket != nil {
			_ = l.socket.Close()
			l.lost("a batch was not answered in time")
			return
		}
	}
}

func (l *Link) read(socket *websocket.Conn) {
	for {
		_, data, err := socket.ReadMessage()
		if err != nil {
			l.drop(socket, err)
			return
		}
		frame, err := decode(data)
		if err != nil || frame.Kind != kindBundle {
			l.drop(socket, errors.CombineErrors(err, errors.New("unexpected frame")))
			return
		}
		l.take(frame)
	}
}

func (l *Link) take(frame wireFrame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	call, ok := l.asks[frame.Number]
	if !ok {
		return
	}
	bundle, err := decodeBundle(frame.Bundle, call.size)
	if err != nil {
		l.Log.WithError(err).WithField("peer", l.Peer).Warn("ignoring a bundle")
		return
	}
	call.heard = true
	select {
	case call.sink <- bundle:
	default:
		l.Log.WithField("peer", l.Peer).Warn("dropping a bundle: too many for one batch")
	}
	if bundle.Last {
		delete(l.asks, frame.Number)
		close(call.sink)
	}
}

// drop gives up a connection; its batches get nothing more.
func (l *Link) drop(socket *websocket.Conn, cause error) {
	_ = socket.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket == socket {
		l.lost(cause.Error())
	}
}

// lost closes the calls of a connection that is closed. The caller holds mu.
func (l *Link) lost(why string) {
	l.Log.WithFields(log.Fields{"peer": l.Peer, "reason": why, "batches": len(l.asks)}).Info("lost the connection to the host")
	l.socket = nil
	for _, call := range l.asks {
		close(call.sink)
	}
	l.asks = nil
}

// Close ends the link.
func (l *Link) Close() {
	l.mu.Lock()
	socket := l.socket
	l.mu.Unlock()
	if socket != nil {
		l.drop(socket, errors.New("closed by this host"))
	}
}

func (l *Link) write(socket *websocket.Conn, frame wireFrame) error {
	data, err := encode(frame)
	if err != nil {
		return err
	}
	l.writing.Lock()
	defer l.writing.Unlock()
	return send(socket, l.Timer, data)
}

func send(socket *websocket.Conn, clock *timer.Service, data []byte) error {
	if err := socket.SetWriteDeadline(clock.Now().Add(writeTimeout)); err != nil {
		return magnoliashore.Step(err, "set a deadline", socket.RemoteAddr().String())
	}
	return magnoliashore.Step(socket.WriteMessage(websocket.BinaryMessage, data), "send", socket.RemoteAddr().String())
}
