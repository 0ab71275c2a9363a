package standin_test

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/standin"
)

func TestTargetReply(t *testing.T) {
	t.Parallel()
	target := startTarget(t, standin.TargetConfig{Latency: time.Millisecond, Partitions: []string{"look1"}})
	got := sendRequest(t.Context(), newClient(t), target, 7, map[string]string{"Once": "1", "Remaining": "5000"})
	if got.err != nil || got.status != http.StatusOK {
		t.Fatalf("got %d, %v, want 200", got.status, got.err)
	}
	if want := string(standin.Body("look1", 1)); got.body != want {
		t.Errorf("got %s, want %s", got.body, want)
	}
	want := map[string]string{
		"Request": "7", "Partition": "look1", "Snapshot": "1", "State": "warm",
		"Incarnation": target.Incarnation(), "Content-Length": strconv.Itoa(len(got.body)),
	}
	for name, want := range want {
		if got := got.header.Get(name); got != want {
			t.Errorf("header %s: got %q, want %q", name, got, want)
		}
	}
	entry := target.Ledger()[0]
	if entry.Request() != 7 || entry.Query() != "q1" || entry.Partition() != "look1" || entry.Snapshot() != 1 ||
		!entry.AtMostOnce() || !entry.Begun() || entry.Running() != 1 || entry.Result() != standin.ResultDone ||
		entry.End().Before(entry.Start()) {
		t.Errorf("got %+v, want a done entry of request 7", entry)
	}
}

func TestBodyIsFixed(t *testing.T) {
	t.Parallel()
	golden(t, "testdata/body.json", standin.Body("look1", 1))
}

func TestTargetRefusals(t *testing.T) {
	t.Parallel()
	past := strconv.FormatInt(time.Now().Add(-time.Second).UnixMilli(), 10)
	tests := []struct {
		name    string
		headers map[string]string
		drain   bool
		status  int
		refused string
	}{
		{"remaining is over", map[string]string{"Remaining": "0"}, false, 503, "deadline"},
		{"deadline is over", map[string]string{"Deadline": past, "Remaining": "1000"}, false, 503, "deadline"},
		{"unknown snapshot", map[string]string{"Snapshot": "9"}, false, 410, "snapshot"},
		{"unknown partition", map[string]string{"Partition": "look9"}, false, 410, "snapshot"},
		{"drain", nil, true, 503, "drain"},
		{"no number", map[string]string{"Request": "x"}, false, 400, ""},
		{"no partition", map[string]string{"Partition": ""}, false, 400, ""},
		{"bad deadline", map[string]string{"Deadline": "soon"}, false, 400, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			target := startTarget(t, standin.TargetConfig{Partitions: []string{"look1"}})
			if test.drain {
				target.Drain()
			}
			got := sendRequest(t.Context(), newClient(t), target, 1, test.headers)
			if got.status != test.status || got.header.Get("Refused") != test.refused {
				t.Errorf("got %d %q, %v, want %d %q",
					got.status, got.header.Get("Refused"), got.err, test.status, test.refused)
			}
			if test.refused != "" && (got.header.Get("Wait") == "" || target.Ledger()[0].Begun()) {
				t.Errorf("got %v, %+v, want a wait and an entry that never began", got.header, target.Ledger())
			}
			target.Undrain()
			target.SetSnapshots(1, 9)
			if got := sendRequest(t.Context(), newClient(t), target, 2, nil); got.status != http.StatusOK {
				t.Errorf("afterwards: got %d, %v, want 200", got.status, got.err)
			}
		})
	}
}

// TestTargetSlots sends eight requests while the first ones run: their latency is
// many times what it takes to send all.
func TestTargetSlots(t *testing.T) {
	t.Parallel()
	target := startTarget(t, standin.TargetConfig{Slots: 2, MaxWaiting: 3, Latency: time.Second})
	counts := make(map[string]int)
	for _, got := range sendRequests(t, newClient(t), target, 8) {
		counts[got.header.Get("Refused")]++
	}
	if want := map[string]int{"": 5, "shed": 3}; !maps.Equal(counts, want) {
		t.Errorf("got %v, want %v", counts, want)
	}
	for _, entry := range target.Ledger() {
		if entry.Running() > 2 {
			t.Errorf("got %d running, want at most 2", entry.Running())
		}
	}
}

// A request whose deadline passes while it waits for a slot is refused without
// running.
func TestTargetDeadlineWhileWaiting(t *testing.T) {
	t.Parallel()
	target := startTarget(t, standin.TargetConfig{Slots: 1, MaxWaiting: 1, Latency: 500 * time.Millisecond})
	client := newClient(t)
	first := make(chan reply, 1)
	go func() { first <- sendRequest(context.Background(), client, target, 1, nil) }()
	eventually(t, "the first request runs", func() bool { return health(t, client, target).Busy == 1 })
	start := time.Now()
	got := sendRequest(t.Context(), client, target, 2, map[string]string{"Remaining": "30"})
	if got.header.Get("Refused") != "deadline" || time.Since(start) > 200*time.Millisecond {
		t.Errorf("got %d %q after %v, want deadline after 30 ms",
			got.status, got.header.Get("Refused"), time.Since(start))
	}
	if got := <-first; got.status != http.StatusOK {
		t.Errorf("got %d, %v for the first, want 200", got.status, got.err)
	}
}

func TestTargetCancelFreesTheSlot(t *testing.T) {
	t.Parallel()
	target := startTarget(t, standin.TargetConfig{Slots: 1, Latency: 10 * time.Millisecond})
	if err := target.SetFault(standin.FaultMute); err != nil {
		t.Fatal(err)
	}
	client := newClient(t)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if got := sendRequest(ctx, client, target, 1, nil); got.err == nil {
		t.Errorf("got %d, want no reply", got.status)
	}
	if err := target.SetFault(standin.FaultNone); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the slot is free", func() bool { return results(target)[standin.ResultCancelled] == 1 })
	if got := sendRequest(t.Context(), client, target, 2, nil); got.status != http.StatusOK {
		t.Errorf("got %d %q, want 200", got.status, got.header.Get("Refused"))
	}
}

func TestTargetFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		fault    string
		broken   bool
		request  string
		snapshot string
	}{
		{standin.FaultNone, false, "2", "1"},
		{standin.FaultTruncate, true, "2", "1"},
		{standin.FaultCross, false, "1", "1"},
		{standin.FaultSlow, false, "2", "1"},
		{standin.FaultGarble, false, "2", "2"},
	}
	for _, test := range tests {
		t.Run("fault "+test.fault, func(t *testing.T) {
			t.Parallel()
			target := startTarget(t, standin.TargetConfig{Latency: time.Millisecond})
			client := newClient(t)
			sendRequest(t.Context(), client, target, 1, nil)
			if err := target.SetFault(test.fault); err != nil {
				t.Fatal(err)
			}
			got := sendRequest(t.Context(), client, target, 2, nil)
			if (got.err != nil) != test.broken {
				t.Errorf("got error %v, want one %v", got.err, test.broken)
			}
			if got := got.header.Get("Request"); got != test.request {
				t.Errorf("got request %q, want %q", got, test.request)
			}
			if got := got.header.Get("Snapshot"); got != test.snapshot {
				t.Errorf("got snapshot %q, want %q", got, test.snapshot)
			}
		})
	}
	if err := standin.NewTarget(standin.TargetConfig{}).SetFault("flood"); err == nil {
		t.Error("got no error for an unknown fault, want one")
	}
}

func TestTargetServiceTimes(t *testing.T) {
	t.Parallel()
	target := startTarget(t, standin.TargetConfig{
		Latency: 5 * time.Millisecond, StragglerProbability: 0.2, StragglerLatency: 60 * time.Millisecond, Seed: 3,
	})
	client := newClient(t)
	for i := range 40 {
		sendRequest(t.Context(), client, target, i+1, nil)
	}
	var slow int
	for _, entry := range target.Ledger() {
		if entry.End().Sub(entry.Start()) >= 60*time.Millisecond {
			slow++
		}
	}
	if slow < 2 || slow > 20 {
		t.Errorf("got %d stragglers of 40, want about 8", slow)
	}
}
