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

func TestBest(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		n     int
		parts [][]byte
		want  []byte
	}{
		{"no part", 3, nil, nil},
		{"the greatest first", 2, [][]byte{join("a", "c"), join("b")}, join("c", "b")},
		{"equal records all count", 3, [][]byte{join("b", "a"), join("b")}, join("b", "b", "a")},
		{"a remainder is no record", 3, [][]byte{append(join("a"), "zzz"...)}, join("a")},
		{"fewer than wanted", 9, [][]byte{join("a")}, join("a")},
		{"bytes compare without sign", 1, [][]byte{join("a"), bytes.Repeat([]byte{0xff}, 16)}, bytes.Repeat([]byte{0xff}, 16)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			if got := scatter.MergeTopK(test.n, test.parts); !bytes.Equal(got, test.want) {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

// TestMergingOnTheWay merges parts in two steps, as batches do.
func TestMergingOnTheWay(t *testing.T) {
	t.Parallel()
	parts := [][]byte{join("d", "a"), join("c", "b"), join("e")}
	batch := scatter.MergeTopK(3, parts[:2])
	got := scatter.MergeTopK(3, [][]byte{batch, parts[2]})
	if want := scatter.MergeTopK(3, parts); !bytes.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
