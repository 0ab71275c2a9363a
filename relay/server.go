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

// Server takes batches from other hosts.
type Server struct {
	// Handle answers a batch with bundles, the last one marked as such. It
	// runs in a goroutine of its own until ctx ends.
	Handle func(ctx context.Context, ask Request, reply func(Result))
	Timer  *timer.Service
	Log    log.Interface
}

var _ http.Handler = (*Server)(nil)

// incoming is one connection of a Server.
type incoming struct {
	server *Server
	socket *websocket.Conn

	writing sync.Mutex
	mu      sync.Mutex
	cancels map[uint64]context.CancelFunc
}

// ServeHTTP takes the connection of another host until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	upgrader := websocket.Upgrader{ReadBufferSize: 4 << 10, WriteBufferSize: 4 << 10}
	socket, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		s.Log.WithError(err).WithField("peer", r.RemoteAddr).Warn("refusing a connection for batches")
		return
	}
	defer func() { _ = socket.Close() }()
	socket.SetReadLimit(maxFrame)
	in := &incoming{server: s, socket: socket, cancels: make(map[uint64]context.CancelFunc)}
	ctx, cancel := context.WithCancel(context.WithoutCancel(r.Context()))
	defer cancel()
	if err := in.read(ctx); err != nil && !websocket.IsCloseError(err, websocket.CloseNormalClosure) {
		s.Log.WithError(err).WithField("peer", r.RemoteAddr).Debug("connection for batches ended")
	}
}

func (in *incoming) read(ctx context.Context) error {
	for {
		_, data, err := in.socket.ReadMessage()
		if err != nil {
			return err
		}
		frame, err := decode(data)
		if err != nil {
			return err
		}
		switch frame.Kind {
		case kindAsk:
			in.start(ctx, frame)
		case kindCancel:
			in.end(frame.Number)
		default:
			return errors.Newf("unexpected frame of kind %d", frame.Kind)
		}
	}
}

func (in *incoming) start(ctx context.Context, frame wireFrame) {
	ctx, cancel := context.WithCancel(ctx)
	in.mu.Lock()
	in.cancels[frame.Number] = cancel
	in.mu.Unlock()
	ask := decodeAsk(frame.Ask)
	go func() {
		defer in.end(frame.Number)
		in.server.Handle(ctx, ask, func(b Result) { in.reply(frame.Number, b) })
	}()
}

func (in *incoming) end(number uint64) {
	in.mu.Lock()
	cancel := in.cancels[number]
	delete(in.cancels, number)
	in.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (in *incoming) reply(number uint64, b Result) {
	data, err := encode(wireFrame{Kind: kindBundle, Number: number, Bundle: encodeBundle(b)})
	if err != nil {
		in.server.Log.WithError(err).Error("cannot encode a bundle")
		return
	}
	in.writing.Lock()
	defer in.writing.Unlock()
	if err := send(in.socket, in.server.Timer, data); err != nil {
		in.server.Log.WithError(err).Debug("a bundle was not sent")
		_ = in.socket.Close()
	}
}
