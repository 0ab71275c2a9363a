package origin_test

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/magnoliashore/magnoliashore/origin"
)

// TestLackOfDescriptorsCountsAsFailureOfTheTarget guards against blaming a target, or
// finding this host cut off, when this host has no descriptor for a connection.
func TestLackOfDescriptorsCountsAsFailureOfTheTarget(t *testing.T) {
	t.Parallel()
	s := startTarget(t, echoIDs)
	c := newCaller(s)
	var exhausted atomic.Bool
	c.pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if exhausted.Load() {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("socket", unix.EMFILE)}
		}
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	wantStatus(t, "with descriptors", c.do(t.Context(), "a", ""), 200)
	wantStatus(t, "over the open connection", c.do(t.Context(), "b", ""), 200)
	exhausted.Store(true)
	if ok, err := c.pool.Connects(t.Context(), c.target); ok || !errors.Is(err, origin.ErrExhausted) {
		t.Errorf("got connected %t and error %v, want that this host cannot find out", ok, err)
	}
	if c.pool.HasEnded(t.Context(), c.target, 2) {
		t.Error("got that the target has ended, want that it is not known")
	}
	// The idle connection was closed to make room.
	got := c.do(t.Context(), "c", "")
	if got.Sent || !errors.Is(got.Err, origin.ErrExhausted) || !got.Inconclusive() {
		t.Errorf("got sent %t and error %v, want an attempt that says nothing about the target", got.Sent, got.Err)
	}
	exhausted.Store(false)
	wantStatus(t, "with descriptors again", c.do(t.Context(), "d", ""), 200)
}
