package explain_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/explain"
)

var update = flag.Bool("update", false, "rewrite the golden file")

func TestRequest(t *testing.T) {
	t.Parallel()
	lines := readLog(t, "testdata/hosts.log")
	var b strings.Builder
	for _, l := range explain.Request(lines, "abc1") {
		fmt.Fprintf(&b, "%s %s %s\n", l.At().Format("15:04:05.000"), l.Host(), l.Text())
	}
	wantGolden(t, "testdata/abc1.golden", b.String())
}

func TestSummary(t *testing.T) {
	t.Parallel()
	lines := readLog(t, "testdata/requests.log")
	var b strings.Builder
	if err := explain.Summarize(lines, time.Second).Write(&b); err != nil {
		t.Fatal(err)
	}
	wantGolden(t, "testdata/summary.golden", b.String())
}

func TestSummaryWithoutRequests(t *testing.T) {
	t.Parallel()
	if !explain.Summarize(nil, time.Second).Empty() {
		t.Error("got requests in an empty log, want none")
	}
}

func readLog(t *testing.T, path string) []explain.Line {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	lines, err := explain.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	return lines
}

func wantGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

func TestUnknownRequest(t *testing.T) {
	t.Parallel()
	if got := explain.Request(nil, "abc1"); len(got) != 0 {
		t.Errorf("got %d lines, want none", len(got))
	}
}
