package httpd

import (
	"bufio"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// errNoAnswer means that a handler flushes an answer that it has not begun.
var errNoAnswer = errors.New("there is no answer to flush")

// Answered returns a handler that closes the connection of a request which next leaves
// without an answer: net/http would answer it 200 with an empty body. That happens to
// callers that have left, or seem to: a caller that has only ended its sending side still
// reads.
func Answered(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := &answerRecorder{ResponseWriter: w}
		next.ServeHTTP(recorder, r)
		if !recorder.answered {
			panic(http.ErrAbortHandler)
		}
	})
}

// answerRecorder records whether a final answer was begun.
type answerRecorder struct {
	http.ResponseWriter

	answered bool
}

var _ http.Hijacker = (*answerRecorder)(nil)

// WriteHeader writes the head of an answer, which may be an interim one.
func (w *answerRecorder) WriteHeader(status int) {
	w.answered = w.answered || status >= http.StatusOK || status == http.StatusSwitchingProtocols
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body.
func (w *answerRecorder) Write(p []byte) (int, error) {
	w.answered = true
	return w.ResponseWriter.Write(p)
}

// FlushError sends what was written. It fails if that is nothing, which would become an
// empty answer.
func (w *answerRecorder) FlushError() error {
	if !w.answered {
		return errNoAnswer
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Hijack takes over the connection.
func (w *answerRecorder) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	c, buffer, err := http.NewResponseController(w.ResponseWriter).Hijack()
	w.answered = w.answered || err == nil
	return c, buffer, err
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *answerRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }
