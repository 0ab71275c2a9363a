package scatter_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/magnoliashore/magnoliashore/scatter"
)

func record(c string) []byte { return []byte(strings.Repeat(c, scatter.RecordSize)) }

func join(records ...string) []byte {
	b := make([]byte, 0, len(records)*scatter.RecordSize)
	for _, r := range records {
		b = append(b, record(r)...)
	}
	return b
}

func TestMergeTopK(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		k       int
		results [][]byte
		want    []byte
	}{
		{"no partial result", 3, nil, nil},
		{"greatest first", 2, [][]byte{join("a", "c"), join("b")}, join("c", "b")},
		{"equal records are all kept", 3, [][]byte{join("b", "a"), join("b")}, join("b", "b", "a")},
		{"remainder is ignored", 3, [][]byte{append(join("a"), "zzz"...)}, join("a")},
		{"fewer than k", 9, [][]byte{join("a")}, join("a")},
		{"bytes compare as unsigned", 1, [][]byte{join("a"), bytes.Repeat([]byte{0xff}, 16)}, bytes.Repeat([]byte{0xff}, 16)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if got := scatter.MergeTopK(test.k, test.results); !bytes.Equal(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestMergeTopKInTwoSteps merges the results of a batch first, as another host
// does, and then all: the outcome must be the same as of one merge.
func TestMergeTopKInTwoSteps(t *testing.T) {
	t.Parallel()
	results := [][]byte{join("d", "a"), join("c", "b"), join("e")}
	batch := scatter.MergeTopK(3, results[:2])
	got := scatter.MergeTopK(3, [][]byte{batch, results[2]})
	if want := scatter.MergeTopK(3, results); !bytes.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestMergeOfNoRecords guards against a number of records below zero, which another host
// may ask for.
func TestMergeOfNoRecords(t *testing.T) {
	t.Parallel()
	if got := scatter.MergeTopK(-1, [][]byte{make([]byte, 32)}); len(got) != 0 {
		t.Errorf("got %d bytes, want none", len(got))
	}
}
