package origin

import (
	"context"
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore/timer"
)

var errStreamUsed = errors.New("the request body was already sent by another attempt")

// Stream is the rest of a request body that is too long to be buffered. It is
// read while it is sent, so only one attempt can send it.
type Stream struct {
	source   io.Reader
	length   int64         // bytes; negative if unknown
	sendDone chan struct{} // closed when the attempt has stopped reading the source
	started  atomic.Bool   // an attempt has started to send the stream
	eof      atomic.Bool   // the source was read to its end
	readErr  atomic.Pointer[error]
}

// NewStream returns a stream of length bytes from source. A negative length
// means that it is unknown.
func NewStream(source io.Reader, length int64) *Stream {
	return &Stream{source: source, length: length, sendDone: make(chan struct{})}
}

// Length returns the number of bytes; negative if it is unknown.
func (s *Stream) Length() int64 { return s.length }

// Started reports whether an attempt has started to send the stream.
func (s *Stream) Started() bool { return s.started.Load() }

// SendDone returns a channel that is closed when the attempt that sends the stream
// has stopped reading it, whether it succeeded or not.
func (s *Stream) SendDone() <-chan struct{} { return s.sendDone }

// AtEOF reports whether the source has been read to its end.
func (s *Stream) AtEOF() bool { return s.eof.Load() }

// Err returns the error that ended reading the source early; nil if there was
// none.
func (s *Stream) Err() error {
	if err := s.readErr.Load(); err != nil {
		return *err
	}
	return nil
}

// Read reads from the source and records its end or its error.
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

// writeBody writes the head and the body. If the source ends early, it closes
// the connection, so that the target detects the incomplete body.
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

// writeStream writes the buffered body and the stream, chunked if the length is
// unknown.
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
	_, err := io.WriteString(w, "\r\n") // ends the (empty) trailer section
	return err
}

// Tail is the rest of an answer that is too long to be buffered. It holds its
// connection until it has been copied or until the attempt's context ends.
type Tail struct {
	body    io.ReadCloser
	length  int64 // bytes; negative if unknown
	conn    *conn
	timer   *timer.Service
	outcome TailOutcome
	release func()              // ends the tail; may be called more than once
	detach  func() bool         // detaches the tail from the attempt's context
	finish  func(complete bool) // releases the connection; only the first call counts

	mu    sync.Mutex
	ended bool
	onEnd func(TailOutcome) // called when the tail ends; nil until it is known
}

// TailOutcome is how a tail has ended. If neither Complete nor Broken is set, that says
// nothing about the target: the caller has left, or has read too slowly.
type TailOutcome struct {
	Complete bool
	Broken   bool          // the target has broken the answer off, or has not ended it in time
	Took     time.Duration // of Copy
}

// tailReader keeps the error of reading a tail.
type tailReader struct {
	source io.Reader
	err    error
}

// Read reads from the target.
func (r *tailReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// OnEnd sets a function that is called when the tail occupies its target no more, or at once
// if that is so already. It must be called at most once.
func (t *Tail) OnEnd(f func(TailOutcome)) {
	t.mu.Lock()
	ended := t.ended
	t.onEnd = f
	t.mu.Unlock()
	if ended {
		f(t.outcome)
	}
}

// end calls the function of OnEnd.
func (t *Tail) end() {
	t.mu.Lock()
	t.ended = true
	f := t.onEnd
	t.mu.Unlock()
	if f != nil {
		f(t.outcome)
	}
}

// Length returns the number of bytes; negative if it is unknown.
func (t *Tail) Length() int64 { return t.length }

// bind makes the tail release its connection when ctx, the context of its
// attempt, ends. release is called at most once.
func (t *Tail) bind(ctx context.Context, release func(complete bool)) {
	var once sync.Once
	t.finish = func(complete bool) { once.Do(func() { release(complete) }) }
	t.detach = context.AfterFunc(ctx, func() { t.finish(false) })
}

// Copy writes the tail to w. An error means that the answer is incomplete.
func (t *Tail) Copy(ctx context.Context, w io.Writer) error {
	if !t.detach() {
		return errCanceled
	}
	stop := context.AfterFunc(ctx, func() { _ = t.conn.SetDeadline(time.Unix(1, 0)) })
	source, began := &tailReader{source: t.body}, t.timer.Now()
	_, err := io.Copy(w, source)
	if !stop() && err == nil {
		err = errCanceled
	}
	// Without a length, an answer that is not over in time may have no end.
	endless := t.length < 0 && errors.Is(ctx.Err(), context.DeadlineExceeded)
	broken := err != nil && !errors.Is(ctx.Err(), context.Canceled) && (source.err != nil || endless)
	t.outcome = TailOutcome{Complete: err == nil, Broken: broken, Took: t.timer.Now().Sub(began)}
	_ = t.body.Close()
	t.finish(err == nil)
	return errors.Wrap(err, "streaming the rest of the answer")
}
