package target

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
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
	r.pool.MaxClockSkew = 200 * time.Millisecond
	s := sub(time.Second)
	a, e := r.pool.Send(t.Context(), s, r.target, magnoliashore.Permit{})
	check(t, a, "ran", "")
	if got, want := string(a.Body()), "part"; got != want {
		t.Errorf("body: got %q, want %q", got, want)
	}
	if !e.Healthy || e.Cold || e.Shed || e.Incarnation != "i1" || e.Latency <= 0 {
		t.Errorf("evidence: got %+v, want a healthy warm target", e)
	}
	h := <-headers
	var remaining, deadline int64
	if _, err := fmt.Sscan(h.Get(headerRemaining), &remaining); err != nil || remaining < 500 || remaining > 1000 {
		t.Errorf("remaining: got %q, want at most 1000", h.Get(headerRemaining))
	}
	want := s.Deadline().Add(-r.pool.MaxClockSkew).UnixMilli()
	if _, err := fmt.Sscan(h.Get(headerDeadline), &deadline); err != nil || deadline < want-5 || deadline > want+5 {
		t.Errorf("deadline: got %q, want %d", h.Get(headerDeadline), want)
	}
	if got, want := h.Get(headerOnce), "1"; got != want {
		t.Errorf("once: got %q, want %q", got, want)
	}
}

func TestSendReplies(t *testing.T) {
	t.Parallel()
	file, err := os.ReadFile("testdata/replies.txt")
	if err != nil {
		t.Fatal(err)
	}
	rows := strings.Split(strings.TrimSpace(string(file)), "\n")[1:]
	if got, want := len(rows), 26; got != want {
		t.Errorf("rows: got %d, want %d", got, want)
	}
	for _, row := range rows {
		f := strings.Split(row, " | ")
		t.Run(f[0], func(t *testing.T) {
			t.Parallel()
			reply, err := strconv.Unquote(f[4])
			if err != nil {
				t.Fatal(err)
			}
			r := newRig(t, serveTCP(t, replyOnce(reply, f[3])), 1)
			r.pool.MaxReply = 64
			a, e := r.pool.Send(t.Context(), sub(testTimeout), r.target, magnoliashore.Permit{})
			check(t, a, f[1], f[2])
			if got, want := e.Healthy, f[1] == "ran"; got != want {
				t.Errorf("healthy: got %v, want %v", got, want)
			}
			if got, want := a.RetryAfter() == 40*time.Millisecond, f[1] == "notrun"; got != want {
				t.Errorf("after: got %v, want 40ms only with notrun", a.RetryAfter())
			}
			if f[3] == "kept" {
				eventually(t, "states", r.states.text, "[up]")
				eventually(t, "conns", r.conns, 1)
				return
			}
			switch {
			case f[3] == "closed":
				eventually(t, "states", r.states.text, "[up closed]")
			case f[0] != "no length": // in that case either side may close first
				eventually(t, "states", r.states.text, "[up down]")
			}
			eventually(t, "conns", r.conns, 0)
		})
	}
}
