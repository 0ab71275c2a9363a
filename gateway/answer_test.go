package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/magnoliashore/magnoliashore/catalog"
	"github.com/magnoliashore/magnoliashore/relay"
)

// oneFellow has one other host that takes whole requests.
type oneFellow struct {
	noHosts
	peer string
}

func (h oneFellow) Fellows() []string { return []string{h.peer} }

// passOnTo has a host pass a request on to one that answers it with answer, and returns
// what the caller gets.
func passOnTo(t *testing.T, answer http.Handler) *httptest.ResponseRecorder {
	t.Helper()
	server := httptest.NewServer(answer)
	t.Cleanup(server.Close)
	e, q := shardedEngine()
	e.Hosts = oneFellow{peer: strings.TrimPrefix(server.URL, "http://")}
	q.received, q.streamUntil, q.request.Header = time.Now(), time.Now().Add(5*time.Second), http.Header{}
	q.request.Method, q.request.URI = http.MethodGet, "/"
	q.params.Timeout = 5 * time.Second
	h := &Handler{
		Engine: e, Dialect: signedDialect{}, Log: e.Log, DataAge: func() time.Duration { return 0 },
		Forwarder: relay.NewForwarder(), stop: e.stop,
	}
	recorder := httptest.NewRecorder()
	h.forward(recorder, httptest.NewRequest(http.MethodGet, "/", nil), catalog.NewRoute(catalog.RouteSpec{Name: "r"}), q)
	return recorder
}

// TestRefusalOfAnotherHost guards against a caller who is told that its request has not
// run by a host of an earlier version, which passes the 503 of a target that has run it
// on. A refusal that a host makes itself reaches the caller.
func TestRefusalOfAnotherHost(t *testing.T) {
	t.Parallel()
	refuse := func(w http.ResponseWriter) {
		w.Header().Set("Proof", "p")
		w.Header().Set("Retry-After", "0.250")
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "failure")
	}
	earlier := passOnTo(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { refuse(w) }))
	if earlier.Code != http.StatusBadGateway || earlier.Header().Get("Proof") != "" || earlier.Header().Get("Retry-After") != "" || earlier.Body.Len() > 0 {
		t.Errorf("earlier version: got status %d, header %v and body %q, want an empty 502", earlier.Code, earlier.Header(), earlier.Body)
	}
	current := passOnTo(t, &relay.ForwardServer{
		Log: &log.Logger{Handler: discard.New()},
		Handle: func(w http.ResponseWriter, _ *http.Request, _, _ time.Duration) error {
			refuse(w)
			return nil
		},
	})
	if got := current.Header().Get("Retry-After"); current.Code != http.StatusServiceUnavailable || got != "0.250" {
		t.Errorf("this version: got status %d and Retry-After %q, want 503 and 0.250", current.Code, got)
	}
	for _, header := range []http.Header{earlier.Header(), current.Header()} {
		for name := range header {
			if strings.HasPrefix(name, "Forward-") {
				t.Errorf("got the header field %s, which is for hosts only", name)
			}
		}
	}
}
