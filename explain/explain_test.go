package explain_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/magnoliashore/magnoliashore/explain"
)

var update = flag.Bool("update", false, "rewrite the golden file")

func TestRequest(t *testing.T) {
	t.Parallel()
	file, err := os.Open("testdata/hosts.log")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	lines, err := explain.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, l := range explain.Request(lines, "abc1") {
		fmt.Fprintf(&b, "%s %s %s\n", l.At().Format("15:04:05.000"), l.Host(), l.Text())
	}
	if *update {
		if err := os.WriteFile("testdata/abc1.golden", []byte(b.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile("testdata/abc1.golden")
	if err != nil {
		t.Fatal(err)
	}
	if got := b.String(); got != string(want) {
		t.Errorf("got\n%swant\n%s", got, want)
	}
}

func TestUnknownRequest(t *testing.T) {
	t.Parallel()
	if got := explain.Request(nil, "abc1"); len(got) != 0 {
		t.Errorf("got %d lines, want none", len(got))
	}
}
