package operator

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/magnoliashore/magnoliashore"
)

const (
	header  = "row,name,group,class,weight,zones,deadline,slots,conns,cold,hedge,retry,queue,coverage,state\n"
	zoneRow = "zone,a,,,,,,,,,,,,,in\n"
	service = "service,look1,gallery,urgent,10,a,80ms,2,8,1,yes,yes,16,0.9,on\n"
)

func readTestdata(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestDecodeTableRoundTrip(t *testing.T) {
	t.Parallel()
	want := readTestdata(t, "table.csv")
	table, err := DecodeTable(7, want)
	if err != nil {
		t.Fatal(err)
	}
	if table.Version() != 7 {
		t.Errorf("version: got %d, want 7", table.Version())
	}
	got, err := EncodeTable(table)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("got %s\nwant %s", got, want)
	}
}

func TestDecodeTableValues(t *testing.T) {
	t.Parallel()
	table, err := DecodeTable(1, readTestdata(t, "table.csv"))
	if err != nil {
		t.Fatal(err)
	}
	s, _ := table.Service("export")
	if got, want := s.Class(), magnoliashore.ClassBackground; got != want {
		t.Errorf("class: got %v, want %v", got, want)
	}
	if !s.Off() || s.Allows("a") || !s.Allows("b") {
		t.Errorf("got off %v, zones %v", s.Off(), s.Zones())
	}
	if !table.ZoneOut("b") || table.ZoneOut("a") {
		t.Error("want zone b out and zone a in")
	}
}

func TestDecodeTableAccepts(t *testing.T) {
	t.Parallel()
	cases := map[string]string{
		"byte order mark":    "\xef\xbb\xbf" + header + zoneRow + service,
		"CRLF and empty row": strings.ReplaceAll(header+zoneRow+",,,,,,,,,,,,,,\n"+service, "\n", "\r\n"),
		"quotes and blanks":  header + zoneRow + strings.Replace(service, "look1", `" look1 "`, 1),
		"other column order": "name,state,row,group,class,weight,zones,deadline,slots,conns,cold,hedge,retry,queue,coverage\n" +
			"a,in,zone,,,,,,,,,,,,\nlook1,on,service,gallery,urgent,10,a,80ms,2,8,1,yes,yes,16,0.9\n",
	}
	want, err := DecodeTable(1, []byte(header+zoneRow+service))
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range cases {
		got, err := DecodeTable(1, []byte(text))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if changes := DiffTables(got, want); len(changes) != 0 {
			t.Errorf("%s: got %v, want no change", name, changes)
		}
	}
}

func TestDecodeTableRefuses(t *testing.T) {
	t.Parallel()
	row := func(old, replacement string) string {
		return header + zoneRow + strings.Replace(service, old, replacement, 1)
	}
	cases := []struct{ name, text, want string }{
		{"empty", "", "the header is missing"},
		{"missing column", strings.Replace(header, ",state", "", 1), "line 1, column state: missing"},
		{"unknown column", strings.Replace(header, "\n", ",extra\n", 1), "line 1, column extra: unknown"},
		{"duplicate column", strings.Replace(header, "\n", ",state\n", 1), "line 1, column state: comes twice"},
		{"short row", header + zoneRow + "service,look1\n", "line 3, column row: the row has 2 columns; allowed are 15"},
		{"row kind", row("service", "shard"), `line 3, column row: "shard" is not allowed; allowed are service and zone`},
		{"no name", row("look1", ""), `line 3, column name: "" is no name`},
		{"class", row("urgent", "high"), "column class: \"high\" is not allowed; allowed are urgent, normal, background"},
		{"weight low", row(",10,", ",0,"), `column weight: "0" is out of range; allowed is a whole number, 1 to 1000`},
		{"weight high", row(",10,", ",1001,"), "column weight"},
		{"deadline unit", row("80ms", "80"), "column deadline: \"80\" is out of range"},
		{"deadline long", row("80ms", "61s"), "1ms to 1m0s"},
		{"slots", row(",2,8,1,", ",1025,2000,1,"), `column slots: "1025" is out of range; allowed is a whole number, 1 to 1024`},
		{"conns below slots", row(",2,8,1,", ",2,1,1,"), "column conns: \"1\" is out of range; allowed is a whole number, 2 to 65536"},
		{"cold above slots", row(",2,8,1,", ",2,8,3,"), "column cold: \"3\" is out of range; allowed is a whole number, 1 to 2"},
		{"hedge", row("yes,yes", "true,yes"), "column hedge: \"true\" is not allowed; allowed are yes and no"},
		{"queue", row(",16,", ",-1,"), "column queue"},
		{"coverage", row("0.9", "1.1"), "column coverage: \"1.1\" is out of range; allowed is a number, 0 to 1"},
		{"coverage NaN", row("0.9", "NaN"), "column coverage"},
		{"state", row(",on", ",in"), "column state: \"in\" is not allowed; allowed are off and on"},
		{"duplicate service", header + zoneRow + service + service, "line 4, column name: \"look1\" has a row already at line 3"},
		{"duplicate zone", header + zoneRow + zoneRow + service, "line 3, column name: \"a\" has a row already"},
		{"service zone", row(",a,", ",a c,"), "line 3, column zones: zone \"c\" has no zone row"},
		{"service zone twice", row(",a,", ",a a,"), "line 3, column zones: \"a\" is named twice"},
		{"no zone rows", header + strings.Replace(service, ",a,", ",,", 1), "no zone row"},
		{"no service rows", header + zoneRow, "no service row"},
		{"zone row filled", header + "zone,a,gallery,,,,,,,,,,,,in\n", "column group: \"gallery\" is not allowed in a zone row"},
		{"open quote", header + zoneRow + "service,\"look1", "rows"},
		{"too large", header + strings.Repeat(zoneRow, maxTableBytes/len(zoneRow)), "allowed are at most 1048576"},
	}
	for _, c := range cases {
		_, err := DecodeTable(1, []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %q", c.name, err, c.want)
		}
	}
}

func TestDecodeTableListsAllFaults(t *testing.T) {
	t.Parallel()
	text := header + "zone,a,,,,,,,,,,,,,gone\n" + "service,look1,gallery,high,0,x,0s,0,0,0,1,2,-1,2,in\n"
	_, err := DecodeTable(1, []byte(text))
	if err == nil {
		t.Fatal("got no error")
	}
	for _, want := range []string{
		"line 2, column state", "line 3, column class", "line 3, column weight", "line 3, column deadline",
		"line 3, column slots", "line 3, column conns", "line 3, column cold", "line 3, column hedge",
		"line 3, column retry", "line 3, column queue", "line 3, column coverage", "line 3, column state",
		"line 3, column zones",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("got %v\nwant %q too", err, want)
		}
	}
}

func FuzzDecodeTable(f *testing.F) {
	f.Add([]byte(header + zoneRow + service))
	f.Add([]byte("\xef\xbb\xbf" + header + zoneRow))
	f.Add([]byte(header + "zone,\"a\n\",,\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		table, err := DecodeTable(1, data)
		if err != nil {
			return
		}
		first, err := EncodeTable(table)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeTable(1, first)
		if err != nil {
			t.Fatalf("DecodeTable rejects the encoded table: %v\n%s", err, first)
		}
		second, err := EncodeTable(again)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first, second) {
			t.Errorf("got %s\nwant %s", second, first)
		}
		if changes := DiffTables(table, again); len(changes) != 0 {
			t.Errorf("got %v, want no change", changes)
		}
	})
}
