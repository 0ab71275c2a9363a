package configservice_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/configservice"
)

const key = "cells/ljubljana/table"

// rejectMinus rejects values that begin with a minus sign, and panics on "panic".
func rejectMinus(v magnoliashore.Value) error {
	if len(v.Data()) > 0 && v.Data()[0] == '-' {
		return errors.New("begins with a minus sign")
	}
	if string(v.Data()) == "panic" {
		panic("index out of range")
	}
	return nil
}

func TestStoreOffer(t *testing.T) {
	t.Parallel()
	type step struct {
		version magnoliashore.Version
		data    string
		want    configservice.OfferResult
		fails   bool
	}
	tests := []struct {
		name           string
		steps          []step
		version        magnoliashore.Version
		highestOffered magnoliashore.Version
	}{
		{"none", nil, 0, 0},
		{"rising", []step{{1, "a", configservice.Applied, false}, {2, "b", configservice.Applied, false}}, 2, 2},
		{"old", []step{{2, "b", configservice.Applied, false}, {1, "a", configservice.Old, false}}, 2, 2},
		{"same", []step{{2, "b", configservice.Applied, false}, {2, "b", configservice.Same, false}}, 2, 2},
		{"conflict", []step{{2, "b", configservice.Applied, false}, {2, "c", configservice.Invalid, true}}, 2, 2},
		{"zero", []step{{0, "a", configservice.Invalid, true}}, 0, 0},
		{"invalid", []step{{1, "a", configservice.Applied, false}, {3, "-", configservice.Invalid, true}}, 1, 3},
		{"panic", []step{{1, "a", configservice.Applied, false}, {2, "panic", configservice.Invalid, true}}, 1, 2},
		{"invalid again", []step{{3, "-", configservice.Invalid, true}, {3, "-", configservice.Invalid, true}}, 0, 3},
		{"invalid, then other bytes", []step{{3, "-", configservice.Invalid, true}, {3, "c", configservice.Invalid, true}}, 0, 3},
		{"valid below an invalid one", []step{
			{1, "a", configservice.Applied, false}, {3, "-", configservice.Invalid, true}, {2, "b", configservice.Applied, false},
		}, 2, 3},
		{"valid above an invalid one", []step{{3, "-", configservice.Invalid, true}, {4, "d", configservice.Applied, false}}, 4, 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			store := configservice.NewStore(rejectMinus)
			for _, s := range test.steps {
				got, err := store.Offer(magnoliashore.NewValue(key, s.version, []byte(s.data)))
				if got != s.want || (err != nil) != s.fails {
					t.Errorf("version %d: got %v, %v, want %v, error %v", s.version, got, err, s.want, s.fails)
				}
			}
			if got := store.Version(key); got != test.version {
				t.Errorf("got version %d, want %d", got, test.version)
			}
			if got := store.HighestOffered(key); got != test.highestOffered {
				t.Errorf("got highest offered version %d, want %d", got, test.highestOffered)
			}
			if _, got := store.Get(key); got != (test.version > 0) {
				t.Errorf("got a value %v, want %v", got, test.version > 0)
			}
		})
	}
}

func TestStoreReportsConflict(t *testing.T) {
	t.Parallel()
	store := configservice.NewStore(nil)
	_, _ = store.Offer(magnoliashore.NewValue(key, 1, []byte("a")))
	_, err := store.Offer(magnoliashore.NewValue(key, 1, []byte("b")))
	if !errors.Is(err, configservice.ErrConflict) {
		t.Errorf("got %v, want %v", err, configservice.ErrConflict)
	}
	got, _ := store.Get(key)
	if want := "a"; string(got.Data()) != want {
		t.Errorf("got %q, want %q", got.Data(), want)
	}
}

// Hosts receive values in any order and any number of times. Each must end with
// the highest valid version, and its version must never decrease.
func TestStoreConvergesInAnyOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "-", "b"}), 1, 8).Draw(t, "data")
		order := rapid.SliceOfN(rapid.IntRange(0, len(data)-1), 0, 24).Draw(t, "order")
		store := configservice.NewStore(rejectMinus)
		var want, last magnoliashore.Version
		for _, i := range order {
			version := magnoliashore.Version(i + 1)
			_, _ = store.Offer(magnoliashore.NewValue(key, version, []byte(data[i])))
			if data[i] != "-" {
				want = max(want, version)
			}
			if got := store.Version(key); got < last {
				t.Fatalf("version went back from %d to %d", last, got)
			}
			last = store.Version(key)
		}
		if last != want {
			t.Fatalf("got version %d, want %d", last, want)
		}
	})
}
