package registry_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore/registry"
	"github.com/magnoliashore/magnoliashore/timer"
)

// source is a source whose behaviour a test sets.
type source struct {
	name  string
	asked *[]string
	err   error
	age   time.Duration
	hops  int
}

func (s *source) List(context.Context) (registry.Batch, error) {
	*s.asked = append(*s.asked, s.name)
	return registry.Batch{Age: s.age, Hops: s.hops}, s.err
}

func (s *source) Watch(ctx context.Context, _ uint64) (registry.Batch, error) { return s.List(ctx) }

// selection is a selector over a store and two hosts.
type selection struct {
	selector *registry.Selector
	sources  map[string]*source
	asked    []string
}

func newSelection(reads bool) *selection {
	s := &selection{sources: make(map[string]*source)}
	for _, name := range []string{"store", "h1", "h2", "h3"} {
		s.sources[name] = &source{name: name, asked: &s.asked}
	}
	s.selector = &registry.Selector{
		Store: s.sources["store"],
		Dial:  func(host registry.Candidate) registry.Source { return s.sources[host.Name] },
		Order: func() []registry.Candidate {
			if reads {
				return candidates(registry.FromStore, "h1", "h2")
			}
			return candidates("h1", "h2", registry.FromStore, "h3")
		},
		Timer: &timer.Service{}, Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	}
	return s
}

// candidates are hosts that are to read the store themselves, and the store.
func candidates(names ...string) []registry.Candidate {
	list := make([]registry.Candidate, len(names))
	for i, name := range names {
		list[i] = registry.Candidate{Name: name, MaxHops: 1}
	}
	return list
}

// watch makes calls, and returns which sources they went to.
func (s *selection) watch(t *testing.T, calls int) []string {
	t.Helper()
	s.asked = nil
	for range calls {
		_, _ = s.selector.Watch(t.Context(), 1)
	}
	return s.asked
}

func wantAsked(t *testing.T, got []string, want ...string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("got calls to %v, want %v", got, want)
	}
}

func TestReaderAsksTheStore(t *testing.T) {
	t.Parallel()
	wantAsked(t, newSelection(true).watch(t, 2), "store", "store")
}

func TestOthersAskAReader(t *testing.T) {
	t.Parallel()
	wantAsked(t, newSelection(false).watch(t, 2), "h1", "h1")
}

// TestStoreTurnsAReaderAway has the store serve others but not this host.
func TestStoreTurnsAReaderAway(t *testing.T) {
	t.Parallel()
	s := newSelection(true)
	s.sources["store"].err = errors.New("turned away")
	wantAsked(t, s.watch(t, 3), "store", "h1", "h1")
}

// TestReadersAreLost has both readers fail, the second one by knowing nothing
// new: the host asks the store itself.
func TestReadersAreLost(t *testing.T) {
	t.Parallel()
	s := newSelection(false)
	s.sources["h1"].err = errors.New("lost")
	s.sources["h2"].age = 10 * time.Second
	wantAsked(t, s.watch(t, 4), "h1", "h2", "store", "store")
}

// TestForgottenHistoryIsNoFailure stays with a source that has to be listed.
func TestForgottenHistoryIsNoFailure(t *testing.T) {
	t.Parallel()
	s := newSelection(false)
	s.sources["h1"].err = registry.ErrCompacted
	wantAsked(t, s.watch(t, 2), "h1", "h1")
}

// TestSourceIsTriedAgain has a source that failed come back.
func TestSourceIsTriedAgain(t *testing.T) {
	t.Parallel()
	s := newSelection(true)
	s.sources["store"].err = errors.New("down")
	s.watch(t, 2)
	s.sources["store"].err = nil
	time.Sleep(2100 * time.Millisecond)
	wantAsked(t, s.watch(t, 1), "store")
}

// TestReadersAreTurnedAway has the store turn the readers and this host away,
// but serve another one: its knowledge is found after one round.
func TestReadersAreTurnedAway(t *testing.T) {
	t.Parallel()
	s := newSelection(false)
	s.sources["h1"].age = 4 * time.Second
	s.sources["h2"].age = 4 * time.Second
	s.sources["store"].err = errors.New("turned away")
	wantAsked(t, s.watch(t, 5), "h1", "h2", "store", "h3", "h3")
}

// TestReaderThatFollowsOthersIsLeft has a reader that the store turns away,
// and that knows only what other hosts tell it.
func TestReaderThatFollowsOthersIsLeft(t *testing.T) {
	t.Parallel()
	s := newSelection(false)
	s.sources["h1"].hops = 2
	s.sources["h2"].hops = 1
	wantAsked(t, s.watch(t, 3), "h1", "h2", "h2")
}

// once lists one item, and never answers again.
type once struct{ listed bool }

func (o *once) List(context.Context) (registry.Batch, error) {
	if o.listed {
		return registry.Batch{}, errors.New("silent")
	}
	o.listed = true
	return batch(1, item("a1", "target s ready", 1)), nil
}

func (o *once) Watch(context.Context, uint64) (registry.Batch, error) {
	return registry.Batch{}, errors.New("silent")
}

// TestHostOutOfTouchSaysSoAtOnce asks a host that has lost the store: it does
// not let the other one wait for a change that it cannot learn of.
func TestHostOutOfTouchSaysSoAtOnce(t *testing.T) {
	t.Parallel()
	reader := &registry.Reader{
		Table: newBook(), Source: &once{}, Timer: &timer.Service{},
		Log: &log.Logger{Handler: discard.New(), Level: log.FatalLevel},
	}
	go func() { _ = reader.Run(t.Context()) }()
	server := httptest.NewServer(&registry.Server{Reader: reader})
	t.Cleanup(server.Close)
	peer := &registry.Peer{Address: strings.TrimPrefix(server.URL, "http://"), Client: http.DefaultClient, MaxHops: 1}
	time.Sleep(2700 * time.Millisecond)
	began := time.Now()
	got, err := peer.Watch(t.Context(), 1)
	if err != nil || got.Age < 2500*time.Millisecond {
		t.Errorf("got age %s and error %v, want the time since the store was heard", got.Age, err)
	}
	if took := time.Since(began); took > 300*time.Millisecond {
		t.Errorf("got the answer after %s, want it at once", took)
	}
}
