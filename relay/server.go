package relay

import (
	"context"
	"net/http"
	"sync"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"

	"github.com/magnoliashore/magnoliashore/timer"
)

// Server receives batches from other hosts.
type Server struct {
	// Handle answers a batch by calling reply for each result; it sets Last in
	// the last one. It runs in its own goroutine. ctx ends when the batch is
	// cancelled or the connection is closed.
	Handle func(ctx context.Context, request Request, reply func(Result))
	Timer  *timer.Service
	Log    log.Interface
}

var _ http.Handler = (*Server)(nil)

// serverConn is a connection from another host.
type serverConn struct {
	server *Server
	socket *websocket.Conn

	writeMu sync.Mutex
	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc // of the batches in flight, by number
}

// ServeHTTP serves the connection of another host until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	upgrader := websocket.Upgrader{ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10}
	socket, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		s.Log.WithError(err).WithField("peer", r.RemoteAddr).Warn("refusing a relay connection")
		return
	}
	defer func() { _ = socket.Close() }()
	socket.SetReadLimit(maxFrameSize)
	conn := &serverConn{server: s, socket: socket, cancels: make(map[uint64]context.CancelFunc)}
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	defer cancel()
	if err := conn.read(ctx); err != nil && !websocket.IsCloseError(err, websocket.CloseNormalClosure) {
		s.Log.WithError(err).WithField("peer", r.RemoteAddr).Debug("relay connection ended")
	}
}

// read starts and cancels batches as frames arrive, until the connection ends.
func (conn *serverConn) read(ctx context.Context) error {
	for {
		_, data, err := conn.socket.ReadMessage()
		if err != nil {
			return err
		}
		frame, err := decode(data)
		if err != nil {
			return err
		}
		switch frame.Kind {
		case kindRequest:
			conn.startBatch(ctx, frame)
		case kindCancel:
			conn.endBatch(frame.Number)
		default:
			return errors.Newf("unexpected relay frame of kind %d", frame.Kind)
		}
	}
}

// startBatch runs the handler for a batch.
func (conn *serverConn) startBatch(ctx context.Context, frame wireFrame) {
	ctx, cancel := context.WithCancel(ctx)
	conn.mu.Lock()
	conn.cancels[frame.Number] = cancel
	conn.mu.Unlock()
	request := decodeRequest(frame.Request)
	go func() {
		defer conn.endBatch(frame.Number)
		conn.server.Handle(ctx, request, func(result Result) { conn.reply(frame.Number, result) })
	}()
}

// endBatch cancels the context of a batch.
func (conn *serverConn) endBatch(number uint64) {
	conn.mu.Lock()
	cancel := conn.cancels[number]
	delete(conn.cancels, number)
	conn.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// reply sends a result of a batch. It closes the connection on an error.
func (conn *serverConn) reply(number uint64, result Result) {
	data, err := encode(wireFrame{Kind: kindResult, Number: number, Result: encodeResult(result)})
	if err != nil {
		conn.server.Log.WithError(err).Error("cannot encode a result of a batch")
		return
	}
	conn.writeMu.Lock()
	defer conn.writeMu.Unlock()
	if err := send(conn.socket, conn.server.Timer, data); err != nil {
		conn.server.Log.WithError(err).Debug("cannot send a result of a batch")
		_ = conn.socket.Close()
	}
}
