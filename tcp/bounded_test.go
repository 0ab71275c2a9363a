package tcp_test

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore/tcp"
)

func TestBoundedReader(t *testing.T) {
	t.Parallel()
	r := tcp.NewBoundedReader(strings.NewReader("0123456789"))
	r.Allow(4)
	got, err := io.ReadAll(r)
	if string(got) != "0123" || !errors.Is(err, tcp.ErrTooLong) {
		t.Errorf("got %q and error %v, want the 4 bytes allowed and ErrTooLong", got, err)
	}
	r.AllowAll()
	if got, err := io.ReadAll(r); string(got) != "456789" || err != nil {
		t.Errorf("got %q and error %v, want the rest", got, err)
	}
}
