package peer

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/websocket"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/ring"
)

// Times and sizes of a connection between two entry hosts.
const (
	writeTimeout       = 2 * time.Second        // for one frame
	userTimeout        = 800 * time.Millisecond // after this the kernel closes a connection with undelivered data
	handshakeTimeout   = time.Second
	outboxSize         = 4096      // messages
	maxAnswersPerFrame = 64        // most answers joined into one frame
	maxKeptBuffer      = 256 << 10 // largest buffer in bytes that is kept for the next frame
)

// session is one WebSocket connection. One goroutine, the write loop, writes the
// messages of the outbox.
type session struct {
	conn        *websocket.Conn
	codec       *Codec
	sent        deltaState // of the frames written
	received    deltaState // of the frames read
	traffic     *Traffic
	buffer      []byte       // reused by the write loop to encode frames
	inbound     bytes.Buffer // the frame that was read last
	outbox      *ring.Ring[any]
	done        chan struct{}                 // closed when reading has ended
	order       func() uint64                 // returns the logical clock
	beforeWrite func(message any) (any, bool) // returns the message to write, or false for none
}

func newSession(conn *websocket.Conn, codec *Codec, traffic *Traffic, order func() uint64) *session {
	conn.SetReadLimit(maxFrame)
	return &session{
		conn:        conn,
		codec:       codec,
		traffic:     traffic,
		outbox:      ring.New[any](outboxSize),
		done:        make(chan struct{}),
		order:       order,
		beforeWrite: func(message any) (any, bool) { return message, true },
	}
}

// writeLoop writes messages until ctx ends, reading has ended or a write fails.
// It then closes the connection.
func (s *session) writeLoop(ctx context.Context) {
	defer func() { _ = s.conn.Close() }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.done:
			return
		case message := <-s.outbox.Items():
			if err := s.writeOne(message); err != nil {
				return
			}
		}
	}
}

func (s *session) writeOne(message any) error {
	if answer, ok := message.(magnoliashore.SubAnswer); ok {
		return s.writeAnswers(answer)
	}
	message, ok := s.beforeWrite(message)
	if !ok {
		return nil
	}
	return s.send(message)
}

// writeAnswers writes first and the answers that follow it in the outbox as one
// frame, up to a message of another kind, which it writes after them.
func (s *session) writeAnswers(first magnoliashore.SubAnswer) error {
	list := []magnoliashore.SubAnswer{first}
	for len(list) < maxAnswersPerFrame {
		select {
		case message := <-s.outbox.Items():
			if answer, ok := message.(magnoliashore.SubAnswer); ok {
				list = append(list, answer)
				continue
			}
			if err := s.send(Answers{Order: s.order(), List: list}); err != nil {
				return err
			}
			return s.writeOne(message)
		default:
			return s.send(Answers{Order: s.order(), List: list})
		}
	}
	return s.send(Answers{Order: s.order(), List: list})
}

func (s *session) send(message any) error {
	frame, err := s.codec.encode(s.buffer, message, &s.sent)
	if err != nil {
		return err
	}
	s.buffer = reusable(frame)
	s.traffic.countSent(frame)
	if err := s.conn.SetWriteDeadline(s.codec.Clock.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return s.conn.WriteMessage(websocket.BinaryMessage, frame)
}

// reusable returns the buffer of a frame for the next one, or nil if it is too
// large to be kept.
func reusable(frame []byte) []byte {
	if cap(frame) > maxKeptBuffer {
		return nil
	}
	return frame[:0]
}

// read returns the next message. A malformed frame gives an error marked as
// errMalformed; the connection stays usable.
func (s *session) read() (any, error) {
	kind, frame, err := s.readFrame()
	if err != nil {
		return nil, err
	}
	if kind != websocket.BinaryMessage {
		return nil, errors.Mark(errors.New("text message instead of a binary frame"), errMalformed)
	}
	s.traffic.countReceived(frame)
	message, err := s.codec.decode(frame, &s.received)
	if err != nil {
		return nil, errors.Mark(err, errMalformed)
	}
	return message, nil
}

// readFrame returns the next WebSocket message. The frame is valid until the next
// call; decoding copies its data.
func (s *session) readFrame() (kind int, frame []byte, err error) {
	kind, reader, err := s.conn.NextReader()
	if err != nil {
		return kind, nil, err
	}
	if s.inbound.Cap() > maxKeptBuffer {
		s.inbound = bytes.Buffer{}
	}
	s.inbound.Reset()
	_, err = s.inbound.ReadFrom(reader)
	return kind, s.inbound.Bytes(), err
}

var errMalformed = errors.New("malformed frame")
