package load

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/magnoliashore/magnoliashore/settings"
)

var update = flag.Bool("update", false, "write the golden files")

// compareGolden compares got with a golden file, or writes the file if -update
// is set.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
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
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

func TestDecodeNamesLineAndKey(t *testing.T) {
	t.Parallel()
	data, err := os.ReadFile(filepath.Join("testdata", "wrong.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	_, err = Decode(data)
	if err == nil {
		t.Fatal("got no error")
	}
	compareGolden(t, "wrong.txt", err.Error()+"\n")
}

const smallExperiment = `name: small
seed: 7
shape: {name: kovacic, scale: 0.1}
embedded: true
hosts: 2
warmup: 200ms
length: 500ms
groups:
  - {group: gallery, rate: 40, deadline: 200ms, best: 3}
  - {group: enquiry, rate: 20, deadline: 200ms, once: true}
faults:
  - {at: 100ms, do: zone-out b}
  - {at: 200ms, do: snapshot}
  - {at: 300ms, do: zone-in b}
against: direct
policies:
  - {name: direct, direct: true}
  - name: full
    rate: 0.5
    settings:
      policy: {hedge: off}
`

func mustDecode(t *testing.T, text string) Experiment {
	t.Helper()
	e, err := Decode([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func TestDecode(t *testing.T) {
	t.Parallel()
	e := mustDecode(t, smallExperiment)
	faults := make([]string, 0, len(e.faults))
	for _, f := range e.faults {
		faults = append(faults, f.at.String()+" "+f.label())
	}
	got := strings.Join(faults, ", ")
	if want := "100ms zone-out b, 200ms snapshot, 300ms zone-in b, 1.2s retire"; got != want {
		t.Errorf("faults: got %s, want %s", got, want)
	}
	s := settings.Default()
	s.Host = "e5"
	e.policies[1].applySettings(&s)
	if got, want := s.Policy.Hedge+" "+s.Policy.Choose+" "+string(s.Host), "off least e5"; got != want {
		t.Errorf("overlay: got %s, want %s", got, want)
	}
	if got, want := e.policies[0].rateFactor, 1.0; got != want {
		t.Errorf("factor: got %v, want %v", got, want)
	}
}

func TestDecodeRejectsInvalidFiles(t *testing.T) {
	t.Parallel()
	for _, test := range []struct{ name, old, replacement, want string }{
		{"unknown key", "seed: 7", "sead: 7", `line 2: near "sead": unknown field "sead"`},
		{"nested unknown key", "rate: 40", "rat: 40", `line 9: near "rat": unknown field "rat"`},
		{"wrong type", "hosts: 2", "hosts: many", "line 5"},
		{"no unit", "warmup: 200ms", "warmup: often", "line 6: warmup"},
		{"twice", "seed: 7", "seed: 7\nseed: 8", `line 3: near "seed"`},
		{"empty", smallExperiment, "", "line 1: groups"},
		{"remote without addresses", "embedded: true\nhosts: 2", "embedded: false", "line 1: remote.entries"},
		{"remote settings", "embedded: true\nhosts: 2", "embedded: false", "settings: allowed only for the entry hosts of an embedded"},
	} {
		_, err := Decode([]byte(strings.Replace(smallExperiment, test.old, test.replacement, 1)))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got error %v, want it to contain %q", test.name, err, test.want)
		}
	}
}

func TestCommittedExperimentsAreValid(t *testing.T) {
	t.Parallel()
	const dir = "../experiments"
	files, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		data, err := os.ReadFile(filepath.Join(dir, file.Name()))
		if err != nil {
			t.Fatal(err)
		}
		e := mustDecode(t, string(data))
		if got, want := e.Name()+".yaml", file.Name(); got != want {
			t.Errorf("name: got %s, want %s", got, want)
		}
		total := time.Duration(len(e.policies)) * (e.warmup + e.length)
		if total > time.Minute {
			t.Errorf("%s: got %v of load, want at most a minute", file.Name(), total)
		}
	}
}
