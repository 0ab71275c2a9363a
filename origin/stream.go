package origin

import (
	"context"
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

var errStreamUsed = errors.New("the body of the request has been sent once already")

// Stream is the rest of a request body that is too long to be held. It is read
// while it is sent, so only one attempt can send it.
type Stream struct {
	source   io.Reader
	length   int64         // bytes; negative if not known
	sendDone chan struct{} // closed when no attempt reads the source any more
	started  atomic.Bool
	eof      atomic.Bool
	readErr  atomic.Pointer[error]
}

// NewStream returns a stream of length bytes; a negative length is unknown.
func NewStream(source io.Reader, length int64) *Stream {
	return &Stream{source: source, length: length, sendDone: make(chan struct{})}
}

// Started reports whether an attempt has started to send the stream.
func (s *Stream) Started() bool { return s.started.Load() }

// Sent returns a channel that is closed when the attempt that has begun to send
// the stream reads no more of it.
func (s *Stream) Sent() <-chan struct{} { return s.sendDone }

// Done reports whether the source has been read to its end.
func (s *Stream) Done() bool { return s.eof.Load() }

// Err returns why the source could not be read to its end; nil if it has not
// failed.
func (s *Stream) Err() error {
	if err := s.readErr.Load(); err != nil {
		return *err
	}
	return nil
}

// Read reads from the source and notes its failure.
func (s *Stream) Read(p []byte) (int, error) {
	n, err := s.source.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		s.eof.Store(true)
	case err != nil:
		s.readErr.Store(&err)
	}
	return n, err
}

// writeBody writes the body after its head. If the source breaks off, the
// connection is closed, so that the target sees that the body is incomplete.
func writeBody(c *conn, head []byte, req Request) error {
	if req.Stream == nil {
		_, err := c.Write(append(head, req.Body...))
		return err
	}
	defer close(req.Stream.sendDone)
	if _, err := c.Write(head); err != nil {
		return err
	}
	err := writeStream(c, req)
	if err != nil {
		_ = c.Close()
	}
	return err
}

func writeStream(w io.Writer, req Request) error {
	if req.Stream.length >= 0 {
		if _, err := w.Write(req.Body); err != nil {
			return err
		}
		n, err := io.Copy(w, req.Stream)
		if err == nil && n < req.Stream.length {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	chunks := httputil.NewChunkedWriter(w)
	if _, err := chunks.Write(req.Body); err != nil {
		return err
	}
	if _, err := io.Copy(chunks, req.Stream); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n") // the end of the trailer
	return err
}

// Tail is the rest of an answer that is too long to be held. It keeps its
// connection until it has been copied, or until the exchange's context ends.
type Tail struct {
	body       io.ReadCloser
	length     int64 // bytes; negative if not known
	conn       *conn
	stopCancel func() bool // ends the tie to the exchange's context
	finish     func(whole bool)
}

// Length returns the number of bytes; negative if it is not known.
func (t *Tail) Length() int64 { return t.length }

// bind ties the tail to the context of its exchange. give takes the connection
// back, once.
func (t *Tail) bind(ctx context.Context, release func(complete bool)) {
	var once sync.Once
	t.finish = func(whole bool) { once.Do(func() { release(whole) }) }
	t.stopCancel = context.AfterFunc(ctx, func() { t.finish(false) })
}

// Copy writes the tail to w. An error means that the answer is incomplete.
func (t *Tail) Copy(ctx context.Context, w io.Writer) error {
	if !t.stopCancel() {
		return errCanceled
	}
	stop := context.AfterFunc(ctx, func() { _ = t.conn.SetDeadline(time.Unix(1, 0)) })
	_, err := io.Copy(w, t.body)
	if !stop() && err == nil {
		err = errCanceled
	}
	_ = t.body.Close()
	t.finish(err == nil)
	return errors.Wrap(err, "passing on the rest of an answer")
}
