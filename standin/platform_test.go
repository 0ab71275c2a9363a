package standin_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/configservice"
	"github.com/magnoliashore/magnoliashore/standin"
)

const key = "cells/ljubljana/table"

func startPlatform(t *testing.T, p *standin.Platform) configservice.Client {
	t.Helper()
	p.Admin = "127.0.0.1:0"
	run(t, p.Run)
	<-p.Ready()
	return configservice.Client{Address: p.Addr(), HTTP: newClient(t), Wait: time.Second}
}

func TestPlatformModes(t *testing.T) {
	t.Parallel()
	p := &standin.Platform{}
	client := startPlatform(t, p)
	p.Publish(key, []byte("v1"))
	p.Publish(key, []byte("v2"))
	p.SetMode(standin.ModeStale)
	p.Publish(key, []byte("v3"))
	p.Publish("cells/ljubljana/layout", []byte("v1"))
	tests := []struct {
		mode standin.Mode
		want magnoliashore.Version
	}{
		{standin.ModeStale, 2}, {standin.ModeOld, 2}, {standin.ModeUp, 3}, {standin.ModeDown, 0}, {standin.ModeUp, 3},
	}
	if _, err := client.Read(t.Context(), "cells/ljubljana/layout"); !errors.Is(err, configservice.ErrNotFound) {
		t.Errorf("a key published while stale: got %v, want %v", err, configservice.ErrNotFound)
	}
	for _, test := range tests {
		p.SetMode(test.mode)
		got, err := client.Read(t.Context(), key)
		if got.Version() != test.want || (err != nil) != (test.mode == standin.ModeDown) {
			t.Errorf("%v: got version %d, %v, want %d", test.mode, got.Version(), err, test.want)
		}
	}
}

// A watch that waits while the platform is stale returns once the mode is up
// again.
func TestPlatformWatchThroughStale(t *testing.T) {
	t.Parallel()
	p := &standin.Platform{}
	client := startPlatform(t, p)
	p.Publish(key, []byte("v1"))
	p.SetMode(standin.ModeStale)
	got := make(chan magnoliashore.Value, 1)
	go func() {
		value, _ := client.Watch(t.Context(), key, 1)
		got <- value
	}()
	eventually(t, "the watch waits", func() bool { return p.Calls() == 1 })
	p.Publish(key, []byte("v2"))
	select {
	case value := <-got:
		t.Fatalf("got version %d while stale, want none", value.Version())
	case <-time.After(50 * time.Millisecond):
	}
	p.SetMode(standin.ModeUp)
	if value := <-got; value.Version() != 2 {
		t.Errorf("got version %d, want 2", value.Version())
	}
	if got := p.Calls(); got != 1 {
		t.Errorf("got %d calls, want 1: a waiting watch counts as one", got)
	}
}

func TestPlatformKeepsVersions(t *testing.T) {
	t.Parallel()
	p := &standin.Platform{}
	client := startPlatform(t, p)
	p.Publish(key, []byte("v1"))
	p.SetMode(standin.ModeStale)
	for i := range 20 {
		p.Publish(key, fmt.Appendf(nil, "v%d", i+2))
	}
	got, err := client.Read(t.Context(), key)
	if want := magnoliashore.Version(6); err != nil || got.Version() != want {
		t.Errorf("got version %d, %v, want %d, the oldest of the last 16", got.Version(), err, want)
	}
}

func TestPlatformHostsLag(t *testing.T) {
	t.Parallel()
	p := &standin.Platform{Lag: 100 * time.Millisecond}
	client := startPlatform(t, p)
	start := time.Now()
	p.SetHosts([]string{"look1a"}, nil)
	p.SetHost("look1a", standin.HostLeaving)
	got, err := client.Hosts(t.Context())
	if err != nil || got.Leaving("look1a") || len(got.Live()) != 0 {
		t.Errorf("before the lag: got %v, %v, want an empty list", got, err)
	}
	eventually(t, "the list is visible", func() bool {
		got, err := client.Hosts(t.Context())
		return err == nil && got.Leaving("look1a") && len(got.Live()) == 0
	})
	if took := time.Since(start); took < 100*time.Millisecond {
		t.Errorf("visible after %v, want at least 100 ms", took)
	}
}

func TestPlatformAdmin(t *testing.T) {
	t.Parallel()
	p := &standin.Platform{}
	client := startPlatform(t, p)
	admin := standin.AdminClient{Address: p.AdminAddr()}
	version, err := admin.Publish(t.Context(), key, []byte("one"))
	if err != nil || version != 1 {
		t.Errorf("got version %d, %v, want 1", version, err)
	}
	if _, err := admin.Publish(t.Context(), key, make([]byte, configservice.MaxValue+1)); err == nil {
		t.Error("a value over 1 MiB: got no error, want one")
	}
	if err := admin.SetHosts(t.Context(), []string{"a", "b"}, []string{"c"}); err != nil {
		t.Error(err)
	}
	if err := admin.SetHost(t.Context(), "b", standin.HostGone); err != nil {
		t.Error(err)
	}
	hosts, err := client.Hosts(t.Context())
	if err != nil || strings.Join(hosts.Live(), " ") != "a" || !hosts.Leaving("c") {
		t.Errorf("got %v, %v, want a live and c leaving", hosts, err)
	}
	if err := admin.SetMode(t.Context(), standin.ModeDown); err != nil {
		t.Error(err)
	}
	if _, err := client.Read(t.Context(), key); err == nil {
		t.Error("down: got no error, want one")
	}
}

func TestPlatformReadAPIRejectsWrites(t *testing.T) {
	t.Parallel()
	p := &standin.Platform{}
	startPlatform(t, p)
	for _, path := range []string{"/publish/k", "/mode/down", "/hosts", "/values/k"} {
		reply, err := newClient(t).Post("http://"+p.Addr()+path, "text/plain", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		_ = reply.Body.Close()
		if reply.StatusCode != http.StatusNotFound && reply.StatusCode != http.StatusMethodNotAllowed {
			t.Errorf("%s: got %d, want 404 or 405", path, reply.StatusCode)
		}
	}
}

// A waiting watch ends with an error when the platform goes down.
func TestPlatformDownEndsWaitingWatch(t *testing.T) {
	t.Parallel()
	p := &standin.Platform{}
	client := startPlatform(t, p)
	client.Wait = time.Minute
	done := make(chan error, 1)
	go func() {
		_, err := client.Watch(t.Context(), key, 0)
		done <- err
	}()
	eventually(t, "the watch waits", func() bool { return p.Calls() == 1 })
	p.SetMode(standin.ModeDown)
	select {
	case err := <-done:
		if err == nil {
			t.Error("got no error, want one")
		}
	case <-time.After(eventTimeout):
		t.Error("the watch still waits")
	}
}
