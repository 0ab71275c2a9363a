package cmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/caller"
	"github.com/magnoliashore/magnoliashore/event"
	"github.com/magnoliashore/magnoliashore/operator"
	"github.com/magnoliashore/magnoliashore/settings"
	"github.com/magnoliashore/magnoliashore/timer"
)

const sampleTable = "row,name,group,class,weight,zones,deadline,slots,conns,cold,hedge,retry,queue,coverage,state\n" +
	"zone,a,,,,,,,,,,,,,in\nservice,look1,gallery,urgent,10,a,80ms,2,8,1,yes,yes,16,0.9,on\n"

// runTool runs a magnoliashore command and returns its output.
func runTool(t *testing.T, args ...string) (stdout, stderr string, err error) {
	t.Helper()
	var out, errs bytes.Buffer
	root := newRootCmd()
	root.cmd.SetArgs(args)
	root.cmd.SetOut(&out)
	root.cmd.SetErr(&errs)
	err = root.cmd.ExecuteContext(t.Context())
	return out.String(), errs.String(), err
}

func writeToolFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestInitAndCheck(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	if _, _, err := runTool(t, "init", "--output", path); err != nil {
		t.Fatal(err)
	}
	if out, _, err := runTool(t, "check", path); err != nil || !strings.Contains(out, "valid") {
		t.Errorf("got %q, %v", out, err)
	}
	if _, _, err := runTool(t, "init", "--output", path); err == nil {
		t.Error("got no error for a file that exists")
	}
	if out, _, err := runTool(t, "init"); err != nil || out != string(settings.Sample()) {
		t.Errorf("got %q, %v", out, err)
	}
}

func TestCheckErrorsAsJSON(t *testing.T) {
	t.Parallel()
	cases := []struct {
		args []string
		text string
		want []string
	}{
		{[]string{"check"}, "hots: e1\nzome: a\n", []string{`"valid": false`, "line 1: hots", "line 2: zome"}},
		{[]string{"table", "check"}, strings.Replace(sampleTable, "urgent,10", "high,0", 1),
			[]string{`"valid": false`, `"line 3, column class`, `"line 3, column weight`}},
	}
	for _, c := range cases {
		out, _, err := runTool(t, append(c.args, writeToolFile(t, c.text), "--output", "json")...)
		if err == nil {
			t.Errorf("%v: got no error", c.args)
		}
		for _, want := range c.want {
			if !strings.Contains(out, want) {
				t.Errorf("%v: got %s, want %q", c.args, out, want)
			}
		}
	}
}

func TestTableCommands(t *testing.T) {
	t.Parallel()
	before := writeToolFile(t, sampleTable)
	after := writeToolFile(t, strings.Replace(sampleTable, "80ms", "90ms", 1))
	cases := []struct {
		args []string
		want string
	}{
		{[]string{"table", "check", before}, "is valid: 1 services, 1 zones"},
		{[]string{"table", "check", before, "--output", "json"}, `"valid": true`},
		{[]string{"table", "show", before}, "ROW      NAME   GROUP"},
		{[]string{"table", "show", before, "--output", "json"}, `"deadline": "80ms"`},
		{[]string{"table", "diff", before, after}, "service look1  deadline  80ms    90ms"},
		{[]string{"table", "diff", before, after, "--output", "json"}, `"after": "90ms"`},
	}
	for _, c := range cases {
		out, _, err := runTool(t, c.args...)
		if err != nil || !strings.Contains(out, c.want) {
			t.Errorf("%v: got %s, %v\nwant %q", c.args, out, err, c.want)
		}
	}
	if _, _, err := runTool(t, "table", "show", before, "--output", "xml"); err == nil {
		t.Error("got no error for the output xml")
	}
}

// fakeEngine answers every query from spec and lists its server as the only
// entry host.
type fakeEngine struct {
	spec   magnoliashore.AnswerSpec
	server *caller.Server
}

func (e *fakeEngine) Query(_ context.Context, query magnoliashore.Query) magnoliashore.Answer {
	spec := e.spec
	spec.Query = query.ID()
	return magnoliashore.NewAnswer(spec)
}

func (e *fakeEngine) Entries(magnoliashore.ZoneName) magnoliashore.Entries {
	return magnoliashore.NewEntries([]magnoliashore.Entry{
		magnoliashore.NewEntry("e1", 1, 1, "a", e.server.Addr()),
	}, 0)
}

func (*fakeEngine) Ready() bool   { return true }
func (*fakeEngine) Leaving() bool { return false }

func TestQueryCommand(t *testing.T) {
	t.Parallel()
	cases := []struct {
		outcome magnoliashore.Outcome
		want    string
	}{
		{magnoliashore.OutcomeRan, ""},
		{magnoliashore.OutcomeNotRun, "outcome notrun"},
		{magnoliashore.OutcomeUnknown, "outcome unknown"},
	}
	for _, c := range cases {
		e := &fakeEngine{spec: magnoliashore.AnswerSpec{
			Outcome: c.outcome, Reason: magnoliashore.ReasonBusy, Host: "e1",
			Coverage: magnoliashore.NewCoverage(1, 2, []magnoliashore.Miss{magnoliashore.NewMiss("p2", "deadline")}, nil),
		}}
		e.server = &caller.Server{Address: "127.0.0.1:0", Engine: e, Clock: &timer.Service{}}
		go func() { _ = e.server.Run(t.Context()) }()
		<-e.server.Listening()
		for output, text := range map[string]string{"text": "coverage  1 of 2", "json": `"covered": 1`} {
			out, _, err := runTool(t, "query", "--entry", e.server.Addr(), "--group", "g", "--once", "--output", output)
			if !strings.Contains(out, text) {
				t.Errorf("%v: got %s, want %q", c.outcome, out, text)
			}
			if (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("%v: got %v, want %q", c.outcome, err, c.want)
			}
		}
	}
}

func TestTimelineCommand(t *testing.T) {
	t.Parallel()
	events := []magnoliashore.Event{
		magnoliashore.NewEvent(magnoliashore.EventSpec{Code: event.LeaseHeld, Host: "e1", Target: "t1"}),
		magnoliashore.NewEvent(magnoliashore.EventSpec{Code: event.LeaseLost, Host: "e1", Target: "t1"}),
	}
	server := &operator.Server{Address: "127.0.0.1:0", Events: func() []magnoliashore.Event { return events }}
	go func() { _ = server.Run(t.Context()) }()
	<-server.Listening()
	out, errs, err := runTool(t, "timeline", "--from", server.Addr()+",127.0.0.1:0", "--kind", "lease-lost")
	if err != nil || !strings.Contains(out, "lease-lost") || strings.Contains(out, "lease-held") {
		t.Errorf("got %s, %v", out, err)
	}
	if !strings.Contains(errs, "127.0.0.1:0") {
		t.Errorf("got %q on stderr, want the host that cannot be read", errs)
	}
	out, _, err = runTool(t, "timeline", "--from", server.Addr(), "--output", "json")
	if err != nil || strings.Count(out, "\n") != 2 {
		t.Errorf("got %s, %v, want two lines", out, err)
	}
	if _, _, err := runTool(t, "timeline", "--from", "127.0.0.1:0"); err == nil {
		t.Error("got no error when no host can be read")
	}
}
