package tcp_test

import (
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/magnoliashore/magnoliashore/tcp"
)

// option returns a TCP option of a connection.
func option(t *testing.T, c net.Conn, name int) int {
	t.Helper()
	conn, ok := c.(*net.TCPConn)
	if !ok {
		t.Fatalf("got a %T, want a TCP connection", c)
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	value := 0
	if e := raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }); e != nil || err != nil {
		t.Fatalf("reading option %d: got errors %v and %v, want none", name, e, err)
	}
	return value
}

// connect returns both sides of a connection that was dialled and accepted with a user
// timeout.
func connect(t *testing.T, userTimeout time.Duration) (dialled, accepted net.Conn) {
	t.Helper()
	l, err := tcp.ListenConfig(userTimeout).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	if dialled, err = tcp.Dialer(time.Second, userTimeout).DialContext(t.Context(), "tcp4", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = dialled.Close() })
	if accepted, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return dialled, accepted
}

func TestDialerSetsTheUserTimeout(t *testing.T) {
	t.Parallel()
	dialled, accepted := connect(t, 1500*time.Millisecond)
	for name, c := range map[string]net.Conn{"dialled": dialled, "accepted": accepted} {
		if got := option(t, c, unix.TCP_USER_TIMEOUT); got != 1500 {
			t.Errorf("%s: got a timeout of %d ms, want 1500", name, got)
		}
	}
}

// maxSilence is the time within which any idle connection that has become silent is to
// be closed.
const maxSilence = 8 * time.Second

// TestSilentConnectionsAreClosed guards against idle connections that stay open for
// minutes after the other side has become silent. The time is worked out from the
// options of the sockets by the rule of the kernel: at each probe time, a connection is
// closed if a probe is unanswered and the user timeout has passed, or, without one, if
// as many probes are unanswered as it counts.
func TestSilentConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name        string
		userTimeout time.Duration
		want        time.Duration
	}{
		{"callers, directory, readiness, configuration service, caller/client", 0, 8 * time.Second},
		{"target, the default of an entry host", 80 * time.Millisecond, 6 * time.Second},
		{"peer", 800 * time.Millisecond, 6 * time.Second},
		{"relay: batches and whole requests", time.Second, 6 * time.Second},
		{"registry: other hosts", 1200 * time.Millisecond, 6 * time.Second},
		{"platform: the store; origin", 1500 * time.Millisecond, 6 * time.Second},
		{"a long user timeout", 7500 * time.Millisecond, 8 * time.Second},
	} {
		dialled, accepted := connect(t, test.userTimeout)
		for side, c := range map[string]net.Conn{"dialled": dialled, "accepted": accepted} {
			timeout := time.Duration(option(t, c, unix.TCP_USER_TIMEOUT)) * time.Millisecond
			silence := time.Duration(option(t, c, unix.TCP_KEEPIDLE)) * time.Second
			for unanswered := 0; ; unanswered++ {
				if unanswered > 0 && timeout > 0 && silence >= timeout || timeout == 0 && unanswered >= option(t, c, unix.TCP_KEEPCNT) {
					break
				}
				silence += time.Duration(option(t, c, unix.TCP_KEEPINTVL)) * time.Second
			}
			if silence != test.want || silence > maxSilence || silence != tcp.SilenceTime(test.userTimeout) {
				t.Errorf("%s, %s: got closed after %s, want %s, as SilenceTime says (%s)",
					test.name, side, silence, test.want, tcp.SilenceTime(test.userTimeout))
			}
		}
	}
}

// TestEveryConnectionIsProbed guards against dialers and listeners beside those of this
// package: with the defaults of the standard library, probes begin after 15 s and give
// up after 150 s.
func TestEveryConnectionIsProbed(t *testing.T) {
	t.Parallel()
	other := regexp.MustCompile(`net\.(Dialer|ListenConfig)\{|var \w+ net\.(Dialer|ListenConfig)|net\.(Dial|DialTimeout|Listen)\(`)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		folder := strings.Split(filepath.ToSlash(path), "/")
		// Stand-ins and the soak are the other side of the connections. The package for
		// callers is used on other systems than Linux too, and sets the same probes.
		skipped := len(folder) > 1 && slices.Contains([]string{"tcp", "soak", "standin", "journal", "caller"}, folder[1])
		if entry.IsDir() && skipped {
			return fs.SkipDir
		}
		if entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		if found := other.Find(source); found != nil {
			t.Errorf("%s: got %q, want tcp.Dialer or tcp.ListenConfig", path, found)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}
