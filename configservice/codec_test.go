package configservice_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/magnoliashore/magnoliashore"
	"github.com/magnoliashore/magnoliashore/configservice"
)

func readLayout(t *testing.T) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/layout.json")
	if err != nil {
		t.Fatal(err)
	}
	return bytes.TrimSpace(data)
}

func TestLayoutRoundTrip(t *testing.T) {
	t.Parallel()
	want := readLayout(t)
	layout, err := configservice.DecodeLayout(7, want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := configservice.EncodeLayout(layout)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := layout.Version(); got != 7 {
		t.Errorf("got version %d, want 7", got)
	}
	newest, ok := layout.Newest("gallery")
	if !ok || len(newest.Partitions()) != 2 {
		t.Errorf("got %v, %v, want 2 partitions", newest, ok)
	}
	if got, want := newest.Partitions()[0].Targets()[1], magnoliashore.TargetID("look1b"); got != want {
		t.Errorf("got target %q, want %q", got, want)
	}
}

func TestEncodeLayoutRefusesInvalid(t *testing.T) {
	t.Parallel()
	layout := magnoliashore.NewLayout(magnoliashore.LayoutSpec{Cell: "ljubljana"})
	_, err := configservice.EncodeLayout(layout)
	want := "seats: there are 0, allowed are 1 to 9"
	if err == nil || err.Error() != want {
		t.Errorf("got %v, want %q", err, want)
	}
}

func TestDecodeLayoutErrors(t *testing.T) {
	t.Parallel()
	seat := `{"host":"e1","zone":"a","peer":"127.0.0.1:7101","caller":"127.0.0.1:7001"},`
	tests := []struct {
		name string
		old  string // part of testdata/layout.json that is replaced
		new  string
		want string
	}{
		{"syntax", `{"cell"`, `{cell`, "layout: invalid character"},
		{"unknown field", `{"cell"`, `{"color":1,"cell"`, `unknown field "color"`},
		{"field in another case", `{"cell"`, `{"Cell"`, `unknown field "Cell"`},
		{"field twice", `{"cell"`, `{"cell":"x","cell"`, `field "cell" occurs twice`},
		{"field twice in a seat", `{"host":"e2"`, `{"host":"e2","host":"e2"`, `field "host" occurs twice`},
		{"no cell", `"cell":"ljubljana"`, `"cell":""`, "cell: the name is empty"},
		{"space in a name", `"host":"e2"`, `"host":"e 2"`, `seats[1] "e 2": the name "e 2" has the character ' '`},
		{"line break in a name", `"host":"e2"`, `"host":"e2\r"`, `has the character '\r'`},
		{"long name", `"host":"e2"`, `"host":"` + strings.Repeat("e", 129) + `"`, "the name has 129 bytes, at most 128"},
		{"too many seats", seat, strings.Repeat(seat, 9), "seats: there are 10, allowed are 1 to 9"},
		{"seat twice", `"host":"e2"`, `"host":"e1"`, `seats[1] "e1": the name is already used by seats[0] "e1"`},
		{"seat without zone", `"host":"e2","zone":"b"`, `"host":"e2","zone":""`, `seats[1] "e2" zone: the name is empty`},
		{"peer without port", `127.0.0.1:7102`, `127.0.0.1`, `seats[1] "e2" peer: "127.0.0.1" is not an address`},
		{"caller by name", `127.0.0.1:7002`, `localhost:7002`, `seats[1] "e2" caller: "localhost:7002" is not`},
		{"port zero", `127.0.0.1:7002`, `127.0.0.1:0`, `seats[1] "e2" caller: "127.0.0.1:0" is not`},
		{"former twice", `"former":["e1"]`, `"former":["e1","e1"]`, `former[1]: seat "e1" is listed twice`},
		{"target twice", `"target":"look1b"`, `"target":"look1a"`, `targets[1] "look1a": the name is already used by targets[0]`},
		{"target named as a seat", `"target":"look1b"`, `"target":"e1"`, `targets[1] "e1": the name is already used by seats[0]`},
		{"target without service", `"service":"look1","zone":"b"`, `"service":"","zone":"b"`, `targets[1] "look1b" service: the name is empty`},
		{"address twice", `127.0.0.1:9002`, `127.0.0.1:9001`, `address "127.0.0.1:9001" is already used by targets[0] "look1a" address`},
		{"snapshot zero", `"snapshot":1`, `"snapshot":0`, "snapshots[0]: the snapshot number is 0"},
		{"snapshot negative", `"snapshot":1`, `"snapshot":-1`, "cannot unmarshal number -1"},
		{"no group", `"gallery"`, `""`, "snapshots[0] group: the name is empty"},
		{
			"snapshot twice", `"snapshots":[`,
			`"snapshots":[{"snapshot":1,"group":"gallery","partitions":[{"partition":"x","service":"look2","targets":["look2a"]}]},`,
			`snapshots[1]: group "gallery" has snapshot 1 twice`,
		},
		{"partition twice", `"partition":"look2"`, `"partition":"look1"`, `partitions[1] "look1": the partition is listed twice`},
		{"unknown target", `["look2a"]`, `["look9"]`, `partitions[1] "look2": target "look9" does not exist in targets`},
		{"target of another service", `["look2a"]`, `["look1a"]`, `target "look1a" has service "look1", the partition has "look2"`},
		{"replica twice", `["look2a"]`, `["look2a","look2a"]`, `target "look2a" is listed twice`},
		{"no replica", `["look2a"]`, `[]`, `partitions[1] "look2": there are no targets`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			data := strings.Replace(string(readLayout(t)), test.old, test.new, 1)
			if data == string(readLayout(t)) {
				t.Fatalf("%q does not occur", test.old)
			}
			_, err := configservice.DecodeLayout(1, []byte(data))
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want %q", err, test.want)
			}
		})
	}
}

func TestDecodeLayoutTrailingData(t *testing.T) {
	t.Parallel()
	for _, tail := range []string{"{}", "x", "]"} {
		_, err := configservice.DecodeLayout(1, append(readLayout(t), tail...))
		if err == nil || !strings.Contains(err.Error(), "data follows the end of the object") {
			t.Errorf("tail %q: got %v, want an error", tail, err)
		}
	}
	if _, err := configservice.DecodeLayout(1, append(readLayout(t), " \n"...)); err != nil {
		t.Errorf("white space at the end: got %v, want none", err)
	}
}

// With any bytes changed, DecodeLayout returns an error or a layout that can be
// encoded and decoded again.
func TestDecodeLayoutOfMutatedBytes(t *testing.T) {
	t.Parallel()
	original := readLayout(t)
	rapid.Check(t, func(t *rapid.T) {
		data := bytes.Clone(original)
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			data[at] = rapid.SampledFrom([]byte(`0129-e."{}[],:ab `)).Draw(t, "byte")
		}
		layout, err := configservice.DecodeLayout(1, data)
		if err != nil {
			return
		}
		again, err := configservice.EncodeLayout(layout)
		if err != nil {
			t.Fatalf("%s: got %v, want none", data, err)
		}
		if _, err := configservice.DecodeLayout(1, again); err != nil {
			t.Fatalf("%s: got %v, want none", again, err)
		}
	})
}

func TestDecodeLayoutSize(t *testing.T) {
	t.Parallel()
	data := append(readLayout(t), bytes.Repeat([]byte(" "), configservice.MaxValue)...)
	if _, err := configservice.DecodeLayout(1, data); err == nil {
		t.Error("got no error, want one for a value over 1 MiB")
	}
}
