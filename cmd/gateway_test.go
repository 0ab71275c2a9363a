package cmd

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestExplainShowsRequestLines(t *testing.T) {
	t.Parallel()
	first := writeFile(t, "h1.log", "timestamp=2026-08-25T03:57:45.5Z level=info message=\"request done\" host=h1 outcome=502 request=abc1\n")
	second := writeFile(t, "h2.log", "timestamp=2026-08-25T03:57:45.4Z level=info message=\"batch done\" host=h2 request=abc1\n")
	out, _, err := runTool(t, "explain", "abc1", first, second)
	if err != nil {
		t.Fatal(err)
	}
	want := "03:57:45.400 h2 level=info message=\"batch done\" request=abc1\n" +
		"03:57:45.500 h1 level=info message=\"request done\" outcome=502 request=abc1\n"
	if out != want {
		t.Errorf("got %q, want %q", out, want)
	}
}

func TestExplainSummary(t *testing.T) {
	t.Parallel()
	path := writeFile(t, "h1.log", "timestamp=2026-08-25T03:57:45.5Z level=info message=\"request done\" host=h1 missing=0 outcome=502 request=abc1 took=12ms\n")
	out, _, err := runTool(t, "explain", "--summary", "--interval", "1s", path)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"03:57:45.0  0      0        0        1       12ms", "outcome 502"} {
		if !strings.Contains(out, want) {
			t.Errorf("got %q, want it to contain %q", out, want)
		}
	}
}

func TestExplainErrors(t *testing.T) {
	t.Parallel()
	path := writeFile(t, "h1.log", "no log\n")
	for _, test := range []struct {
		args []string
		want string
	}{
		{[]string{"explain", "abc1", path}, `mentions the request "abc1"`},
		{[]string{"explain", "abc1", path + ".none"}, "open log"},
		{[]string{"explain"}, "arg"},
		{[]string{"explain", "", path}, "the request ID is empty"},
		{[]string{"explain", "--summary", path}, "is about a request"},
		{[]string{"explain", "--summary", "--interval", "0s", path}, "want more than 0"},
	} {
		_, _, err := runTool(t, test.args...)
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%v: got error %v, want one with %q", test.args, err, test.want)
		}
	}
}

func TestGatewayRefusesBadSettings(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		args []string
		want string
	}{
		{[]string{"gateway", "--settings", filepath.Join(t.TempDir(), "none.json")}, "read settings"},
		{[]string{"gateway", "--settings", writeFile(t, "s.json", "{")}, "decoding the settings file"},
		{[]string{"gateway", "--settings", writeFile(t, "s.json", `{"internalPorts":[1]}`)}, "checking the settings file"},
	} {
		_, _, err := runTool(t, test.args...)
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%v: got error %v, want one with %q", test.args, err, test.want)
		}
	}
}

func TestTryPlatform(t *testing.T) {
	t.Parallel()
	out, _, err := runTool(t, "try", "--platform")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(out, "asked 200\n") || !strings.Contains(out, "wrong 0\n") {
		t.Errorf("got report %q, want 200 queries and no wrong answer", out)
	}
}

func TestCheckListsEveryPlatformSettingsError(t *testing.T) {
	t.Parallel()
	path := writeFile(t, "s.json", `{"ip":"10.0.0.1","internalPorts":[1],"bounds":{"graceS":0}}`)
	_, _, err := runTool(t, "check", "--platform", path)
	if err == nil {
		t.Fatal("got no error, want one")
	}
	for _, want := range []string{"no name", "caller address", "ready address", "directory address", "store address", "grace time"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got error %q, want it to name the %s", err, want)
		}
	}
	if _, _, err := runTool(t, "check", "--platform", "../platform/testdata/settings.json"); err != nil {
		t.Errorf("got error %v for a valid file, want none", err)
	}
}
