package relay

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/tcp"
	"github.com/magnoliashore/magnoliashore/timer"
)

// Path is the URL path of the WebSocket between hosts. It ends with the version
// of the messages: hosts of another version get no batches.
const Path = "/relay/2"

const (
	// Timeout for connecting to another host, about 100 round trips in a region.
	dialTimeout = 500 * time.Millisecond
	// TCP user timeout: sent bytes that stay unacknowledged for this long end
	// the connection.
	userTimeout  = time.Second
	writeTimeout = time.Second
	// Least time between two attempts to connect.
	redialInterval = 200 * time.Millisecond
	// Bytes that the other host may send until the WebSocket is open.
	maxHandshakeSize = 64 << 10
	// Results of one batch that are queued for the reader.
	maxQueuedResults = 16
	// Time for the answer to a check of the connection.
	checkTimeout = 300 * time.Millisecond
	// Time past the due time of a batch after which the connection is closed
	// if no result has arrived.
	answerMargin = 500 * time.Millisecond
)

// ErrNotConnected means that there is no connection, so a batch was not sent.
var ErrNotConnected = errors.New("no connection to the host")

// Link is the connection to one other host, over which it sends batches. Set
// the exported fields before the first call of a method.
type Link struct {
	Peer  string // ip:port
	Timer *timer.Service
	Log   log.Interface

	mu         sync.Mutex
	socket     *websocket.Conn // nil while not connected
	lastDial   time.Time
	dialing    bool
	closed     bool             // the host is not used any more
	calls      map[uint64]*Call // batches in flight, by number
	lastNumber uint64
	lastPong   time.Time // when the other host last answered a check

	writeMu sync.Mutex // serializes writes to the socket
}

// Call is a batch in flight. Results is closed after the last result, or when
// the connection is lost.
type Call struct {
	Results <-chan Result

	link      *Link
	number    uint64
	batchSize int
	results   chan Result
	deadline  time.Time // the connection is closed if no result arrives by then
	answered  bool      // at least one result has arrived
}

// Connected reports whether batches can be sent.
func (l *Link) Connected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	return l.socket != nil
}

// Send sends a batch. It returns ErrNotConnected if the batch was not sent.
func (l *Link) Send(request Request) (*Call, error) {
	socket, err := l.connect()
	if err != nil {
		return nil, errors.Mark(err, ErrNotConnected)
	}
	call := l.register(socket, request)
	if call == nil {
		return nil, ErrNotConnected
	}
	if err := l.write(socket, wireFrame{Kind: kindRequest, Number: call.number, Request: encodeRequest(request)}); err != nil {
		l.disconnect(socket, err)
		// The host ignores a frame that did not arrive whole.
		return nil, errors.Mark(err, ErrNotConnected)
	}
	return call, nil
}

// register adds a call for a batch that is about to be sent over socket. It
// returns nil if that is not the current connection any more.
func (l *Link) register(socket *websocket.Conn, request Request) *Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket != socket {
		return nil
	}
	l.lastNumber++
	results := make(chan Result, maxQueuedResults)
	call := &Call{
		Results: results, link: l, number: l.lastNumber, batchSize: len(request.Shards), results: results,
		deadline: l.Timer.Now().Add(min(request.PartialAfter, request.Timeout) + answerMargin),
	}
	l.calls[call.number] = call
	return call
}

// Cancel stops the batch: the other host need not return further results.
func (c *Call) Cancel() {
	l := c.link
	l.mu.Lock()
	_, pending := l.calls[c.number]
	socket := l.socket
	delete(l.calls, c.number)
	l.mu.Unlock()
	if !pending || socket == nil {
		return
	}
	if err := l.write(socket, wireFrame{Kind: kindCancel, Number: c.number}); err != nil {
		l.disconnect(socket, err)
	}
}

// connect returns the connection. If there is none, it starts to dial and
// returns ErrNotConnected at once, so that no batch waits for the dial.
func (l *Link) connect() (*websocket.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire()
	if l.socket != nil {
		return l.socket, nil
	}
	if now := l.Timer.Now(); !l.closed && !l.dialing && now.Sub(l.lastDial) > redialInterval {
		l.lastDial = now
		l.dialing = true
		go l.dial()
	}
	return nil, ErrNotConnected
}

// dial opens the connection and reads from it until it ends.
func (l *Link) dial() {
	bound := tcp.NewBoundedReader(nil)
	dialer := websocket.Dialer{
		NetDialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := tcp.Dialer(dialTimeout, userTimeout).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			bound = tcp.NewBoundedReader(c)
			bound.Allow(maxHandshakeSize)
			return boundedConn{Conn: c, reader: bound}, nil
		},
		HandshakeTimeout: dialTimeout,
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*dialTimeout)
	defer cancel()
	socket, resp, err := dialer.DialContext(ctx, "ws://"+l.Peer+Path, nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	l.mu.Lock()
	l.dialing = false
	if err != nil {
		l.mu.Unlock()
		l.Log.WithError(err).WithField("peer", l.Peer).Info("cannot reach the host")
		return
	}
	if l.closed {
		l.mu.Unlock()
		_ = socket.Close()
		return
	}
	bound.AllowAll() // frames have a bound of their own
	socket.SetReadLimit(maxFrameSize)
	socket.SetPongHandler(func(string) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lastPong = l.Timer.Now()
		return nil
	})
	l.socket = socket
	l.calls = make(map[uint64]*Call)
	l.mu.Unlock()
	l.Log.WithField("peer", l.Peer).Info("connected to the host")
	l.read(socket)
}

// boundedConn is a connection whose reads have a bound.
type boundedConn struct {
	net.Conn

	reader io.Reader
}

// Read reads within the bound.
func (c boundedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Connect starts to open the connection, ahead of the first batch.
func (l *Link) Connect() { _, _ = l.connect() }

// expire closes the connection if a batch has had no result for too long, since
// the other host may never answer. The caller holds mu.
func (l *Link) expire() {
	now := l.Timer.Now()
	for _, call := range l.calls {
		if !call.answered && now.After(call.deadline) && l.socket != nil {
			_ = l.socket.Close()
			l.closeCalls("a batch was not answered in time")
			return
		}
	}
}

// read delivers the results that arrive, until the connection ends.
func (l *Link) read(socket *websocket.Conn) {
	for {
		_, data, err := socket.ReadMessage()
		if err != nil {
			l.disconnect(socket, err)
			return
		}
		frame, err := decode(data)
		if err != nil || frame.Kind != kindResult {
			l.disconnect(socket, errors.CombineErrors(err, errors.New("unexpected relay frame")))
			return
		}
		l.deliver(frame)
	}
}

// deliver passes a result to the reader of its batch.
func (l *Link) deliver(frame wireFrame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	call, ok := l.calls[frame.Number]
	if !ok {
		return
	}
	result, err := decodeResult(frame.Result, call.batchSize)
	if err != nil {
		l.Log.WithError(err).WithField("peer", l.Peer).Warn("ignoring an invalid result of a batch")
		return
	}
	call.answered = true
	select {
	case call.results <- result:
	default:
		l.Log.WithField("peer", l.Peer).Warn("dropping a result of a batch: too many are queued")
	}
	if result.Last {
		delete(l.calls, frame.Number)
		close(call.results)
	}
}

// disconnect closes a connection and the calls that use it.
func (l *Link) disconnect(socket *websocket.Conn, cause error) {
	_ = socket.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.socket == socket {
		l.closeCalls(cause.Error())
	}
}

// closeCalls ends the calls of a closed connection. The caller holds mu.
func (l *Link) closeCalls(reason string) {
	l.Log.WithFields(log.Fields{"peer": l.Peer, "reason": reason, "batches": len(l.calls)}).Info("lost the connection to the host")
	l.socket = nil
	for _, call := range l.calls {
		close(call.results)
	}
	l.calls = nil
}

// Check closes the connection if the other host does not answer at once, so that its
// batches are not waited for, and opens another one.
func (l *Link) Check() {
	l.mu.Lock()
	socket, began := l.socket, l.Timer.Now()
	l.mu.Unlock()
	if socket == nil {
		return
	}
	// WriteControl may be called beside other writes.
	if err := socket.WriteControl(websocket.PingMessage, nil, began.Add(checkTimeout)); err != nil {
		l.disconnect(socket, err)
		return
	}
	l.Timer.Call(checkTimeout, func() {
		l.mu.Lock()
		answered := !l.lastPong.Before(began)
		l.mu.Unlock()
		if !answered {
			l.disconnect(socket, errors.New("the host does not answer over this connection"))
			l.Connect()
		}
	})
}

// Close closes the connection, also one that is being opened. The link is not used after
// that.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	socket := l.socket
	l.mu.Unlock()
	if socket != nil {
		l.disconnect(socket, errors.New("closed by this host"))
	}
}

func (l *Link) write(socket *websocket.Conn, frame wireFrame) error {
	data, err := encode(frame)
	if err != nil {
		return err
	}
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	return send(socket, l.Timer, data)
}

func send(socket *websocket.Conn, timers *timer.Service, data []byte) error {
	if err := socket.SetWriteDeadline(timers.Now().Add(writeTimeout)); err != nil {
		return magnoliashore.Step(err, "set write deadline", socket.RemoteAddr().String())
	}
	return magnoliashore.Step(socket.WriteMessage(websocket.BinaryMessage, data), "send", socket.RemoteAddr().String())
}
