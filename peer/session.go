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
	writeTimeout  = 2 * time.Second        // for one frame
	userTimeout   = 800 * time.Millisecond // after which the kernel drops what it could not deliver
	handshakeTime = time.Second
	outboxSize    = 4096      // messages
	coalesceLimit = 64        // answers in one frame
	roomLimit     = 256 << 10 // bytes that are kept for the next frame
)

// session is one WebSocket connection with its writing duty.
type session struct {
	conn    *websocket.Conn
	codec   *Codec
	sent    history // what the other side has of this one
	got     history // what came from the other side
	traffic *Traffic
	room    []byte       // for the frame that the writing duty encodes
	inbound bytes.Buffer // the frame that was read last
	outbox  *ring.Ring[any]
	done    chan struct{}
	order   func() uint64
	ready   func(message any) (any, bool) // last look at a message before it is written
}

func newSession(conn *websocket.Conn, codec *Codec, traffic *Traffic, order func() uint64) *session {
	conn.SetReadLimit(maxFrame)
	return &session{
		conn:    conn,
		codec:   codec,
		traffic: traffic,
		outbox:  ring.New[any](outboxSize),
		done:    make(chan struct{}),
		order:   order,
		ready:   func(message any) (any, bool) { return message, true },
	}
}

// write runs the writing duty until ctx ends or a write fails, then closes
// the connection.
func (s *session) write(ctx context.Context) {
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
	message, ok := s.ready(message)
	if !ok {
		return nil
	}
	return s.send(message)
}

// writeAnswers joins the answers that wait in the outbox into one frame. A
// message of another kind that it meets is written after them.
func (s *session) writeAnswers(first magnoliashore.SubAnswer) error {
	list := []magnoliashore.SubAnswer{first}
	for len(list) < coalesceLimit {
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
	frame, err := s.codec.encode(s.room, message, &s.sent)
	if err != nil {
		return err
	}
	s.room = keep(frame)
	s.traffic.countSent(frame)
	if err := s.conn.SetWriteDeadline(s.codec.Clock.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return s.conn.WriteMessage(websocket.BinaryMessage, frame)
}

// keep returns the room of a frame for the next one, unless it is very large.
func keep(frame []byte) []byte {
	if cap(frame) > roomLimit {
		return nil
	}
	return frame[:0]
}

// read returns the next message. A frame that is malformed gives an error
// marked as errFrame; the connection itself still stands.
func (s *session) read() (any, error) {
	kind, frame, err := s.readFrame()
	if err != nil {
		return nil, err
	}
	if kind != websocket.BinaryMessage {
		return nil, errors.Mark(errors.New("a text message is not a frame"), errFrame)
	}
	s.traffic.countReceived(frame)
	message, err := s.codec.decode(frame, &s.got)
	if err != nil {
		return nil, errors.Mark(err, errFrame)
	}
	return message, nil
}

// readFrame returns the next message of the connection. The frame is valid
// until the next call; decoding copies what it keeps of it.
func (s *session) readFrame() (kind int, frame []byte, err error) {
	kind, reader, err := s.conn.NextReader()
	if err != nil {
		return kind, nil, err
	}
	if s.inbound.Cap() > roomLimit {
		s.inbound = bytes.Buffer{}
	}
	s.inbound.Reset()
	_, err = s.inbound.ReadFrom(reader)
	return kind, s.inbound.Bytes(), err
}

var errFrame = errors.New("malformed frame")
