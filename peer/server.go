package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/tcp"
	"github.com/magnoliashore/magnoliashore/timer"
)

// Handler processes the messages of other hosts.
type Handler interface {
	// Heartbeat handles a heartbeat and returns the reply.
	Heartbeat(heartbeat Heartbeat) HeartbeatReply
	// Submit runs a sub-request as the owner of its target. reply is called
	// once, from any goroutine. The returned function cancels the sub-request.
	Submit(sub magnoliashore.Sub, reply func(magnoliashore.SubAnswer)) (cancel func())
	// Fetch returns the configuration values that the other host lacks.
	Fetch(fetch Fetch) Values
	// Forward runs a query whose ticket names this host.
	Forward(ctx context.Context, query magnoliashore.Query) magnoliashore.Answer
	// Order returns the logical clock for a message to send.
	Order() uint64
	// Witness moves the logical clock past that of a received message.
	Witness(order uint64)
	// Malformed receives the error of each malformed frame.
	Malformed(peer string, err error)
}

// Server accepts the links of other entry hosts. Set the exported fields
// before Run.
type Server struct {
	Address string // "ip:port"; port 0 picks a free one
	Codec   *Codec
	Handler Handler
	Traffic *Traffic // counts control frames; may be nil

	listener net.Listener
	serving  sync.WaitGroup // connections
}

// Listen binds the address, so that Addr is known before Run.
func (s *Server) Listen(ctx context.Context) error {
	listener, err := tcp.ListenConfig(userTimeout).Listen(ctx, "tcp", s.Address)
	s.listener = listener
	return magnoliashore.Step(err, "listening for entry hosts", s.Address)
}

// Addr returns the bound address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Run serves until ctx ends, then closes every connection.
func (s *Server) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc(Path, func(w http.ResponseWriter, r *http.Request) { s.accept(ctx, w, r) })
	server := &http.Server{Handler: mux, ReadHeaderTimeout: handshakeTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(&tcp.Acceptor{Listener: s.listener, Timer: &timer.Service{}})
	s.serving.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return magnoliashore.Step(err, "serving entry hosts", s.Address)
}

func (s *Server) accept(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	upgrader := websocket.Upgrader{HandshakeTimeout: handshakeTimeout}
	conn, err := upgrader.Upgrade(w, r, nil)
	if err != nil {
		return
	}
	s.serving.Add(1)
	defer s.serving.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	in := &incoming{
		session: newSession(conn, s.Codec, s.Traffic, s.Handler.Order),
		handler: s.Handler,
		remote:  r.Header.Get(SeatHeader) + "@" + r.RemoteAddr,
		cancels: make(map[uint64]func()),
	}
	in.serve(ctx)
}

// incoming is one accepted connection.
type incoming struct {
	*session
	handler Handler
	remote  string // name and address of the other host, for reports

	mu      sync.Mutex
	closed  bool
	cancels map[uint64]func() // by the ID of the sub-request
}

func (in *incoming) serve(ctx context.Context) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		in.writeLoop(ctx)
	}()
	in.readLoop(ctx)
	close(in.done)
	<-written
	in.cancelAll()
}

func (in *incoming) readLoop(ctx context.Context) {
	for {
		message, err := in.read()
		if errors.Is(err, errMalformed) {
			in.handler.Malformed(in.remote, err)
			continue
		}
		if err != nil {
			return
		}
		in.receive(ctx, message)
	}
}

func (in *incoming) receive(ctx context.Context, message any) {
	switch m := message.(type) {
	case Heartbeat:
		in.handler.Witness(m.Info.Order)
		in.outbox.Push(in.handler.Heartbeat(m))
	case Batch:
		in.handler.Witness(m.Order)
		for _, sub := range m.Subs {
			in.submit(sub)
		}
	case Cancel:
		in.cancel(m.IDs)
	case Fetch:
		in.outbox.Push(in.handler.Fetch(m))
	case Forward:
		go in.forward(ctx, m)
	default:
		in.handler.Malformed(in.remote, errors.Newf("unexpected message %T on a server", message))
	}
}

func (in *incoming) submit(sub magnoliashore.Sub) {
	in.mu.Lock()
	in.cancels[sub.ID()] = func() {}
	in.mu.Unlock()
	cancel := in.handler.Submit(sub, in.answer)
	in.mu.Lock()
	defer in.mu.Unlock()
	if _, waiting := in.cancels[sub.ID()]; waiting {
		in.cancels[sub.ID()] = cancel
	}
}

// answer sends a final answer. A full outbox means that the coordinator does not
// read. Closing the connection then ends everything that it waits for.
func (in *incoming) answer(a magnoliashore.SubAnswer) {
	in.mu.Lock()
	delete(in.cancels, a.ID())
	closed := in.closed
	in.mu.Unlock()
	if !closed && !in.outbox.Push(a) {
		_ = in.conn.Close()
	}
}

func (in *incoming) cancel(ids []uint64) {
	for _, id := range ids {
		in.mu.Lock()
		cancel := in.cancels[id]
		delete(in.cancels, id)
		in.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	}
}

func (in *incoming) cancelAll() {
	in.mu.Lock()
	in.closed = true
	cancels := in.cancels
	in.cancels = make(map[uint64]func())
	in.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
}

func (in *incoming) forward(ctx context.Context, m Forward) {
	ctx, cancel := context.WithDeadline(ctx, m.Query.Deadline().Add(forwardGrace))
	defer cancel()
	in.outbox.Push(Forwarded{ID: m.ID, Answer: in.handler.Forward(ctx, m.Query)})
}

// forwardGrace is the time after the deadline of a forwarded query in which its
// outcome can still be sent.
const forwardGrace = 50 * time.Millisecond
