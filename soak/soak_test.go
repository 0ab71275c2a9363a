package soak_test

import (
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"github.com/magnoliashore/magnoliashore/soak"
)

// regressions lists seeds that once found a bug, with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{seed: 1, cause: "no bug; a short run as a baseline"},
	{seed: 1000, cause: "SIGHUP ended a host in the 100 ms before its program handled signals"},
	{seed: 6403, cause: "hosts waited 1.5 s at a restored store that stood at their former revision"},
	{seed: 8203, cause: "a host that had just started sent a request on that all others refused"},
	{seed: 302, cause: "a bug in the soak test: two concurrent restarts of one host started it twice"},
}

// buildGateway builds the gateway program and returns its path.
func buildGateway(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gateway")
	out, err := exec.Command("go", "build", "-o", path, "github.com/magnoliashore/magnoliashore/cmd/gateway").CombinedOutput()
	if err != nil {
		t.Fatalf("building the gateway program: %v: %s", err, out)
	}
	return path
}

// TestRegressions runs each regression seed with six seconds of faults.
func TestRegressions(t *testing.T) {
	t.Parallel()
	path := buildGateway(t)
	for _, r := range regressions {
		t.Run(strconv.FormatUint(r.seed, 10), func(t *testing.T) {
			run := &soak.Soak{
				Program: path, Seed: r.seed, FaultDuration: 6 * time.Second, Hosts: 4, HostLogs: io.Discard,
				Log: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
			}
			if err := run.Run(t.Context()); err != nil {
				t.Errorf("got error %v, want none (%s)", err, r.cause)
			}
		})
	}
}

// TestProxyFaults checks that each fault of the proxy makes an echo over a new
// connection fail or pass as expected.
func TestProxyFaults(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	proxy, err := soak.NewProxy(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	echoOnce := func() error {
		c, err := net.Dial("tcp4", proxy.Address())
		if err != nil {
			return err
		}
		defer func() { _ = c.Close() }()
		if err := c.SetDeadline(time.Now().Add(500 * time.Millisecond)); err != nil {
			return err
		}
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		_, err = io.ReadFull(c, make([]byte, 1))
		return err
	}
	for _, test := range []struct {
		name    string
		fault   soak.ConnFault
		wantErr bool
	}{
		{"none", soak.ConnFault{}, false},
		{"silence", soak.ConnFault{DropReplies: true}, true},
		{"refusal", soak.ConnFault{Refuse: true, ResetOpen: true}, true},
		{"delay", soak.ConnFault{Delay: 20 * time.Millisecond}, false},
	} {
		proxy.SetFault(test.fault)
		if err := echoOnce(); (err != nil) != test.wantErr {
			t.Errorf("%s: got error %v, want an error: %t", test.name, err, test.wantErr)
		}
	}
}
