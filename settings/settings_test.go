package settings

import (
	"bytes"
	"flag"
	"math"
	"os"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the golden files")

func sampleSettings(t *testing.T) Settings {
	t.Helper()
	s, err := Load(Sample())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestSample(t *testing.T) {
	t.Parallel()
	got := Sample()
	if *update {
		if err := os.WriteFile("testdata/sample.yaml", got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile("testdata/sample.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("got %s\nwant %s", got, want)
	}
	s := sampleSettings(t)
	if err := s.Check(); err != nil {
		t.Error(err)
	}
	s.Host, s.Zone, s.Cell = "", "", ""
	s.Caller, s.Peer, s.Operator, s.Platform, s.Seeds = "", "", "", "", ""
	if s != Default() {
		t.Errorf("got %+v\nwant %+v", s, Default())
	}
}

func TestLoad(t *testing.T) {
	t.Parallel()
	got, err := Load([]byte("host: 'e2' # seat\nlease: {term: 3s}\npolicy:\n  extra: 0\nlimits:\n  queries: 7\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := Default()
	want.Host = "e2"
	want.Lease.Term = 3 * time.Second
	want.Policy.Extra = 0
	want.Limits.Queries = 7
	if got != want {
		t.Errorf("got %+v\nwant %+v", got, want)
	}
}

func TestLoadEmpty(t *testing.T) {
	t.Parallel()
	for _, text := range []string{"", "\n", "# nothing\n", "---\n"} {
		got, err := Load([]byte(text))
		if err != nil || got != Default() {
			t.Errorf("%q: got %+v, %v, want the defaults", text, got, err)
		}
	}
}

func TestLoadRefuses(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name, text string
		want       []string
	}{
		{"all faults", "hots: e1\nlease:\n  term: 3\n  x: y\nwarm:\n  steps: 4s\n", []string{
			"line 1: hots is unknown; allowed are host, zone",
			"line 3: lease.term: \"3\" is not a duration with a unit",
			"line 4: lease.x is unknown; allowed are heartbeat, term, margin",
			"line 6: warm.steps: \"4s\" is not a whole number",
		}},
		{"number with unit", "policy:\n  extra: 5%\n", []string{"line 2: policy.extra: \"5%\" is not a number"}},
		{"section as value", "lease: 3s\n", []string{"line 1: lease is not a section"}},
		{"value as section", "host:\n  name: e1\n", []string{"line 1: host does not have a plain value"}},
		{"missing value", "host:\n", []string{"line 1: host does not have a plain value"}},
		{"list", "- host\n", []string{"line 1: the file is not a mapping"}},
		{"duplicate key", "host: a\nhost: b\n", []string{"already defined"}},
		{"two documents", "host: a\n---\nhost: b\n", []string{"line 3: the file has a second document"}},
		{"alias", "host: &x a\nzone: *x\n", []string{"line 1: host does not have a plain value", "line 2: zone"}},
		{"broken", "host: [a\n", []string{"load settings"}},
		{"large", strings.Repeat("#", maxFileBytes+1), []string{"at most 65536"}},
	}
	for _, c := range cases {
		_, err := Load([]byte(c.text))
		if err == nil {
			t.Errorf("%s: got no error", c.name)
			continue
		}
		for _, want := range c.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%s: got %v, want %q", c.name, err, want)
			}
		}
	}
}

func TestCheckRefuses(t *testing.T) {
	t.Parallel()
	cases := map[string]func(s *Settings){
		"host: \"\" is not a valid name":                         func(s *Settings) { s.Host = "" },
		"zone: \"a b\" is not a valid name":                      func(s *Settings) { s.Zone = "a b" },
		"caller: \"x\" is not a valid address":                   func(s *Settings) { s.Caller = "x" },
		"peer: \"h:65536\" is not a valid address":               func(s *Settings) { s.Peer = "h:65536" },
		"caller: \"127.0.0.1:7001\" is also the address of peer": func(s *Settings) { s.Peer = s.Caller },
		"log: \"loud\" is not allowed":                           func(s *Settings) { s.Log = "loud" },
		"lease.heartbeat: 700ms is too long":                     func(s *Settings) { s.Lease.Heartbeat = 700 * time.Millisecond },
		"lease.margin: 1s is too long":                           func(s *Settings) { s.Lease.Margin = time.Second },
		"lease.term: 1h0m0s is out of range":                     func(s *Settings) { s.Lease.Term = time.Hour },
		"policy.owner: \"none\" is not allowed":                  func(s *Settings) { s.Policy.Owner = "none" },
		"policy.extra: 0.3 is out of range":                      func(s *Settings) { s.Policy.Extra = 0.3 },
		"policy.quantile: NaN is out of range":                   func(s *Settings) { s.Policy.Quantile = math.NaN() },
		"limits.body: 1048577 is out of range":                   func(s *Settings) { s.Limits.Body = maxBodyBytes + 1 },
		"limits.ledger: 0 is out of range":                       func(s *Settings) { s.Limits.Ledger = 0 },
		"limits.drain: 2s is too short":                          func(s *Settings) { s.Limits.Drain = 2 * time.Second },
		"config.quiet: 500ms is too short":                       func(s *Settings) { s.Config.Quiet = s.Lease.Heartbeat },
		"warm.jump: 1 is out of range; allowed are":              func(s *Settings) { s.Warm.Jump = 1 },
	}
	for want, change := range cases {
		s := sampleSettings(t)
		change(&s)
		err := s.Check()
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

func TestCheckListsAllFaults(t *testing.T) {
	t.Parallel()
	err := Settings{Seeds: "nowhere"}.Check()
	for _, f := range fields() {
		if f.name() == "policy.extra" { // zero is valid
			continue
		}
		if err == nil || !strings.Contains(err.Error(), f.name()+": ") {
			t.Errorf("got %v, want %s too", err, f.name())
		}
	}
}

func FuzzLoad(f *testing.F) {
	f.Add(Sample())
	f.Add([]byte("host: &a x\nlease: {term: *a, <<: 3}\n"))
	f.Add([]byte("- a\n---\n? b\n: |\n  c\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := Load(data)
		if err != nil {
			return
		}
		second, err := Load(encode(&first))
		if err != nil {
			t.Fatalf("Load rejects the encoded settings: %v\n%s", err, encode(&first))
		}
		if !bytes.Equal(encode(&first), encode(&second)) {
			t.Errorf("got %s\nwant %s", encode(&second), encode(&first))
		}
	})
}

// encode writes settings in the layout of the sample, with every value quoted.
func encode(s *Settings) []byte {
	var out bytes.Buffer
	section := ""
	for _, f := range fields() {
		if f.section != section {
			section = f.section
			out.WriteString(section + ":\n")
		}
		if f.section != "" {
			out.WriteString("  ")
		}
		out.WriteString(f.key + ": '" + strings.ReplaceAll(f.value.get(s), "'", "''") + "'\n")
	}
	return out.Bytes()
}
