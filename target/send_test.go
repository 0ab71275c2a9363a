package target

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore"
)

func TestSendRan(t *testing.T) {
	t.Parallel()
	headers := make(chan http.Header, 1)
	r := newRig(t, serve(t, func(w http.ResponseWriter, r *http.Request) {
		headers <- r.Header
		answer(w, r)
	}), 2)
	r.pool.Skew = 200 * time.Millisecond
	s := sub(time.Second)
	a, e := r.pool.Send(t.Context(), s, r.target, time.Time{})
	check(t, a, magnoliashore.OutcomeRan, magnoliashore.ReasonNone)
	if got, want := string(a.Body()), "part"; got != want {
		t.Errorf("body: got %q, want %q", got, want)
	}
	if !e.Healthy || e.Cold || e.Shed || e.Incarnation != "i1" || e.Took <= 0 {
		t.Errorf("evidence: got %+v, want a healthy warm target", e)
	}
	h := <-headers
	var remaining, deadline int64
	if _, err := fmt.Sscan(h.Get(headerRemaining), &remaining); err != nil || remaining < 500 || remaining > 1000 {
		t.Errorf("remaining: got %q, want at most 1000", h.Get(headerRemaining))
	}
	want := s.Deadline().Add(-r.pool.Skew).UnixMilli()
	if _, err := fmt.Sscan(h.Get(headerDeadline), &deadline); err != nil || deadline < want-5 || deadline > want+5 {
		t.Errorf("deadline: got %q, want %d", h.Get(headerDeadline), want)
	}
	if got, want := h.Get(headerOnce), "1"; got != want {
		t.Errorf("once: got %q, want %q", got, want)
	}
	if got, want := r.pool.Conns("t1"), 1; got != want {
		t.Errorf("conns: got %d, want %d", got, want)
	}
}

const (
	good  = "HTTP/1.1 200 OK\r\nRequest: 7\r\nPartition: p1\r\nSnapshot: 3\r\n"
	shed  = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
	whole = "Content-Length: 4\r\n\r\npart"
)

func TestSendReplies(t *testing.T) {
	t.Parallel()
	const (
		ran     = magnoliashore.OutcomeRan
		notrun  = magnoliashore.OutcomeNotRun
		unknown = magnoliashore.OutcomeUnknown
	)
	tests := []struct {
		name    string
		reply   string
		outcome magnoliashore.Outcome
		reason  magnoliashore.Reason
		kept    bool // the connection may carry another request
		cut     bool // the target ends the connection
	}{
		{"whole", good + whole, ran, "", true, false},
		{"empty part", good + "Content-Length: 0\r\n\r\n", ran, "", true, false},
		{"no reply", "", unknown, magnoliashore.ReasonLost, false, true},
		{"half a header", good, unknown, magnoliashore.ReasonLost, false, true},
		{"not HTTP", "SSH-2.0-x\r\n\r\n", unknown, magnoliashore.ReasonInvalid, false, false},
		{"short body", good + "Content-Length: 9\r\n\r\npart", unknown, magnoliashore.ReasonInvalid, false, true},
		{"no length", good + "\r\npart", unknown, magnoliashore.ReasonInvalid, false, true},
		{"chunked", good + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", unknown, magnoliashore.ReasonInvalid, false, false},
		{"too large", good + "Content-Length: 65\r\n\r\npart", unknown, magnoliashore.ReasonInvalid, false, false},
		{"two lengths", good + "Content-Length: 3\r\n" + whole, unknown, magnoliashore.ReasonInvalid, false, false},
		{"crossed request", "HTTP/1.1 200 OK\r\nRequest: 8\r\nPartition: p1\r\nSnapshot: 3\r\n" + whole, unknown, magnoliashore.ReasonInvalid, false, false},
		{"crossed empty", "HTTP/1.1 200 OK\r\nRequest: 8\r\nPartition: p1\r\nSnapshot: 3\r\nContent-Length: 0\r\n\r\n", unknown, magnoliashore.ReasonInvalid, false, false},
		{"crossed partition", "HTTP/1.1 200 OK\r\nRequest: 7\r\nPartition: p2\r\nSnapshot: 3\r\n" + whole, unknown, magnoliashore.ReasonInvalid, false, false},
		{"other snapshot", "HTTP/1.1 200 OK\r\nRequest: 7\r\nPartition: p1\r\nSnapshot: 2\r\n" + whole, unknown, magnoliashore.ReasonSnapshot, false, false},
		{"garbled snapshot", "HTTP/1.1 200 OK\r\nRequest: 7\r\nPartition: p1\r\nSnapshot: 03\r\n" + whole, unknown, magnoliashore.ReasonSnapshot, false, false},
		{"no echo", "HTTP/1.1 200 OK\r\n" + whole, unknown, magnoliashore.ReasonInvalid, false, false},
		{"error", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\noops", unknown, magnoliashore.ReasonInvalid, true, false},
		{"shed", shed + "Refused: shed\r\nWait: 40\r\n\r\n", notrun, magnoliashore.ReasonShed, true, false},
		{"cold", shed + "Refused: cold\r\nWait: 40\r\n\r\n", notrun, magnoliashore.ReasonCold, true, false},
		{"drain", shed + "Refused: drain\r\nWait: 40\r\n\r\n", notrun, magnoliashore.ReasonLeaving, true, false},
		{"late", shed + "Refused: deadline\r\nWait: 40\r\n\r\n", notrun, magnoliashore.ReasonDeadline, true, false},
		{"gone", "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\nRefused: snapshot\r\nWait: 40\r\n\r\n", notrun, magnoliashore.ReasonSnapshot, true, false},
		{"crossed refusal", shed + "Request: 8\r\nRefused: shed\r\n\r\n", unknown, magnoliashore.ReasonInvalid, false, false},
		{"unknown refusal", shed + "Refused: maybe\r\n\r\n", unknown, magnoliashore.ReasonInvalid, false, false},
		{"two refusals", shed + "Refused: shed\r\nRefused: cold\r\n\r\n", unknown, magnoliashore.ReasonInvalid, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, raw(t, script(test.reply, test.cut)), 1)
			r.pool.Limit = 64
			a, e := r.pool.Send(t.Context(), sub(soon), r.target, time.Time{})
			check(t, a, test.outcome, test.reason)
			if got, want := e.Healthy, test.outcome == ran; got != want {
				t.Errorf("healthy: got %v, want %v", got, want)
			}
			if got, want := a.After(), wanted(test.outcome); got != want {
				t.Errorf("after: got %v, want %v", got, want)
			}
			if !test.kept {
				eventually(t, "conns", func() int { return r.pool.Conns("t1") }, 0)
			}
			if got := r.pool.Conns("t1"); test.kept && got != 1 {
				t.Errorf("conns: got %d, want 1", got)
			}
		})
	}
}

func wanted(o magnoliashore.Outcome) time.Duration {
	if o == magnoliashore.OutcomeNotRun {
		return 40 * time.Millisecond
	}
	return 0
}
