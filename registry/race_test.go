package registry_test

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/registry"
)

// muteSource does not answer its first calls, like a source at the end of a silent
// connection.
type muteSource struct {
	mute atomic.Int32 // calls that are not answered
}

func (s *muteSource) List(ctx context.Context) (registry.Batch, error) {
	if s.mute.Add(-1) >= 0 {
		<-ctx.Done()
		return registry.Batch{}, ctx.Err()
	}
	return registry.Batch{Position: registry.Position{Revision: 1}}, nil
}

func (s *muteSource) Watch(ctx context.Context, _ registry.Position, _ bool) (registry.Batch, error) {
	return s.List(ctx)
}

// muteFixture is a selector over sources that answer after some calls, by name, the
// preferred one first.
func muteFixture(names []string, mute map[string]int32) *registry.Selector {
	s := newSelectorFixture(false).selector
	sources := make(map[string]*muteSource)
	for _, name := range names {
		sources[name] = &muteSource{}
		sources[name].mute.Store(mute[name])
	}
	s.Store = sources[registry.StoreName]
	s.Dial = func(host registry.Candidate) registry.Source { return sources[host.Name] }
	s.Order = func() []registry.Candidate { return candidates(names...) }
	return s
}

// TestSilentSourcesAreNotWaitedForInTurn guards against a host whose time without
// changes is the sum of the time-outs of its sources.
func TestSilentSourcesAreNotWaitedForInTurn(t *testing.T) {
	t.Parallel()
	const forever = 1000
	tests := []struct {
		name string
		mute map[string]int32
		// Sources of the answers, one call after another. Sources that are called at the
		// same time are joined by a bar.
		want     []string
		limit    time.Duration
		silences int32 // connections reported as silent
	}{
		{"all answer", nil, []string{"h1", "h1"}, 100 * time.Millisecond, 0},
		{"one connection is silent", map[string]int32{"h1": 1}, []string{"h1|h2", "h1", "h1"}, 500 * time.Millisecond, 1},
		{"one source is silent", map[string]int32{"h1": forever}, []string{"h2", "h2", "h2"}, 500 * time.Millisecond, 0},
		{"all connections are silent", map[string]int32{"h1": 1, "h2": 1, "store": 1, "h3": 1}, []string{"h1", "h1"}, 500 * time.Millisecond, 1},
		{"two sources are silent", map[string]int32{"h1": forever, "h2": forever}, []string{"store", "store", "store"}, 800 * time.Millisecond, 0},
		{
			"only the last source answers", map[string]int32{"h1": forever, "h2": forever, "store": forever},
			[]string{"h3", "h3"}, 1100 * time.Millisecond, 0,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s := muteFixture([]string{"h1", "h2", "store", "h3"}, tt.mute)
			var silences atomic.Int32
			s.OnSilence = func() { silences.Add(1) }
			for i, want := range tt.want {
				began := time.Now()
				batch, err := s.Watch(t.Context(), registry.Position{Revision: 1}, true)
				if err != nil || !slices.Contains(strings.Split(want, "|"), batch.Source) {
					t.Errorf("call %d: got an answer of %q and error %v, want one of %q", i, batch.Source, err, want)
				}
				if took := time.Since(began); took > tt.limit {
					t.Errorf("call %d: got the answer after %s, want at most %s", i, took, tt.limit)
				}
			}
			if got := silences.Load(); got != tt.silences {
				t.Errorf("got %d silent connections reported, want %d", got, tt.silences)
			}
		})
	}
}

// TestSilentSourceIsAvoided checks that a source which twice did not answer is called
// no more for a time, so that later calls are not held up by it.
func TestSilentSourceIsAvoided(t *testing.T) {
	t.Parallel()
	s := muteFixture([]string{"h1", "h2"}, map[string]int32{"h1": 1000})
	for range 2 {
		_, _ = s.Watch(t.Context(), registry.Position{Revision: 1}, true)
	}
	began := time.Now()
	batch, err := s.Watch(t.Context(), registry.Position{Revision: 1}, true)
	if err != nil || batch.Source != "h2" || time.Since(began) > 100*time.Millisecond {
		t.Errorf("got an answer of %q after %s and error %v, want one of h2 at once", batch.Source, time.Since(began), err)
	}
}

// TestLongPollIsOverdueLate checks that a source which may wait for a change is not
// taken for silent meanwhile.
func TestLongPollIsOverdueLate(t *testing.T) {
	t.Parallel()
	s := muteFixture([]string{"h1", "h2"}, nil)
	_, _ = s.Watch(t.Context(), registry.Position{Revision: 1}, true)
	s.Dial = func(host registry.Candidate) registry.Source {
		if host.Name == "h1" {
			return silentSource{}
		}
		return &muteSource{}
	}
	began := time.Now()
	batch, err := s.Watch(t.Context(), registry.Position{Revision: 1}, true)
	took := time.Since(began)
	if err != nil || batch.Source != "h2" {
		t.Errorf("got an answer of %q and error %v, want one of h2", batch.Source, err)
	}
	if took < registry.LongPollTime || took > registry.LongPollTime+500*time.Millisecond {
		t.Errorf("got the answer after %s, want it soon after the time of a long poll, %s", took, registry.LongPollTime)
	}
}
