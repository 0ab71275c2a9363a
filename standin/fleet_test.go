package standin_test

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/standin"
)

func startFleet(t *testing.T) (*standin.Platform, *standin.Fleet) {
	t.Helper()
	p := &standin.Platform{}
	startPlatform(t, p)
	fleet := &standin.Fleet{Admin: "127.0.0.1:0", PlatformAdmin: p.AdminAddr()}
	for _, id := range []string{"look1a", "look1b"} {
		fleet.Targets = append(fleet.Targets, standin.NewTarget(standin.TargetConfig{
			ID: id, WarmAfter: 1, Latency: time.Millisecond,
		}))
	}
	run(t, fleet.Run)
	<-fleet.Ready()
	return p, fleet
}

func postAction(t *testing.T, fleet *standin.Fleet, path string) int {
	t.Helper()
	reply, err := newClient(t).Post("http://"+fleet.AdminAddr()+path, "text/plain", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	_ = reply.Body.Close()
	return reply.StatusCode
}

func TestFleetActions(t *testing.T) {
	t.Parallel()
	_, fleet := startFleet(t)
	target, ok := fleet.Target("look1a")
	if !ok {
		t.Fatal("got no target look1a, want one")
	}
	client := newClient(t)
	tests := []struct {
		path    string
		status  int
		reply   int
		refused string
		header  string // header Snapshot of the reply
	}{
		{"chill", 200, 200, "", "1"},
		{"restart", 200, 200, "", "1"},
		{"drain", 200, 503, "drain", ""},
		{"undrain", 200, 200, "", "1"},
		{"snapshots/2,3", 200, 410, "snapshot", ""},
		{"snapshots/1,2", 200, 200, "", "1"},
		{"fault/garble", 200, 200, "", "2"},
		{"fault/none", 200, 200, "", "1"},
		{"lie/warm", 200, 200, "", "1"},
		{"fault/flood", 400, 200, "", "1"},
		{"snapshots/x", 400, 200, "", "1"},
		{"paint", 400, 200, "", "1"},
	}
	for i, test := range tests {
		if got := postAction(t, fleet, "/target/look1a/"+test.path); got != test.status {
			t.Errorf("%s: got %d, want %d", test.path, got, test.status)
		}
		var got reply
		eventually(t, test.path, func() bool {
			got = sendRequest(t.Context(), client, target, i+1, nil)
			return got.err == nil
		})
		if got.status != test.reply || got.header.Get("Refused") != test.refused ||
			got.header.Get("Snapshot") != test.header {
			t.Errorf("%s: got %d %v, want %d %q %q", test.path, got.status, got.header,
				test.reply, test.refused, test.header)
		}
	}
	if got := postAction(t, fleet, "/target/look9/chill"); got != http.StatusNotFound {
		t.Errorf("unknown target: got %d, want 404", got)
	}
}

func TestFleetUpdatesPlatformHosts(t *testing.T) {
	t.Parallel()
	p, fleet := startFleet(t)
	client := newClient(t)
	list := func() string {
		reply, err := client.Get("http://" + p.Addr() + "/hosts")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = reply.Body.Close() }()
		line, _ := bufio.NewReader(reply.Body).ReadString('\n')
		return strings.TrimSpace(line)
	}
	if got, want := list(), `{"live":["look1a","look1b"],"leaving":[]}`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	postAction(t, fleet, "/target/look1a/drain")
	if got, want := list(), `{"live":["look1b"],"leaving":["look1a"]}`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestFleetLedger(t *testing.T) {
	t.Parallel()
	_, fleet := startFleet(t)
	client := newClient(t)
	for i, target := range fleet.Targets {
		sendRequest(t.Context(), client, target, i+1, nil)
	}
	got, err := client.Get("http://" + fleet.AdminAddr() + "/ledger")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = got.Body.Close() }()
	var targets []string
	for lines := bufio.NewScanner(got.Body); lines.Scan(); {
		var entry struct {
			Target, Result string
			Cold           bool
		}
		if err := json.Unmarshal(lines.Bytes(), &entry); err != nil {
			t.Fatal(err)
		}
		if entry.Result != "done" || !entry.Cold {
			t.Errorf("got %+v, want done and cold", entry)
		}
		targets = append(targets, entry.Target)
	}
	if got, want := strings.Join(targets, " "), "look1a look1b"; got != want {
		t.Errorf("got entries of %s, want %s", got, want)
	}
}
