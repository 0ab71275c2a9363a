package relay_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/magnoliashore/magnoliashore/relay"
	"github.com/magnoliashore/magnoliashore/timer"
)

// TestHandshakeWithoutEnd guards against another host that answers the opening of a
// link with header fields without end.
func TestHandshakeWithoutEnd(t *testing.T) {
	t.Parallel()
	const maxSent = 8 << 20 // with the bytes in socket buffers
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	sent := make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		block := strings.Repeat("A: b\r\n", 4<<10)
		total := int64(0)
		_, err = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\n")
		for err == nil {
			var n int
			n, err = io.WriteString(c, block)
			total += int64(n)
		}
		sent <- total
	}()
	link := &relay.Link{Peer: l.Addr().String(), Timer: &timer.Service{}, Log: &log.Logger{Handler: discard.New()}}
	link.Connect()
	select {
	case got := <-sent:
		if got > maxSent {
			t.Errorf("got %d bytes sent, want %d at most", got, maxSent)
		}
	case <-time.After(5 * time.Second):
		t.Error("the connection is still open after 5 s")
	}
}
