// Package explain finds, in the logs of several hosts, the lines that tell
// what became of one request: the decisions that touched it, and what its
// hosts believed when they took them.
package explain

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// before is how far back a belief that may have decided something is looked
// for.
const before = 15 * time.Second

// maxLine is the longest line of a log that is read, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	at     time.Time
	host   string
	text   string
	fields map[string]string
}

// At returns when the line was written, by its host's clock.
func (l Line) At() time.Time { return l.at }

// Host returns the host that wrote the line.
func (l Line) Host() string { return l.host }

// Text returns the fields without time and host.
func (l Line) Text() string { return l.text }

// Read returns the lines of a log that have a time. What stands before the
// time in a line is passed over.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "timestamp=")
		if !found {
			continue
		}
		if line, ok := parse("timestamp=" + text); ok {
			lines = append(lines, line)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "reading a log")
}

func parse(text string) (Line, bool) {
	line := Line{fields: make(map[string]string)}
	decoder := logfmt.NewDecoder(strings.NewReader(text))
	var rest []string
	for decoder.ScanRecord() {
		for decoder.ScanKeyval() {
			key, value := string(decoder.Key()), string(decoder.Value())
			line.fields[key] = value
			if key != "timestamp" && key != "host" && key != "source" {
				rest = append(rest, key+"="+quoted(value))
			}
		}
	}
	at, err := time.Parse(time.RFC3339Nano, line.fields["timestamp"])
	if err != nil || decoder.Err() != nil {
		return Line{}, false
	}
	line.at, line.host, line.text = at, line.fields["host"], strings.Join(rest, " ")
	return line, true
}

func quoted(value string) string {
	if strings.ContainsAny(value, " =\"") {
		return `"` + strings.ReplaceAll(value, `"`, `'`) + `"`
	}
	return value
}

// Request returns the lines that concern a request, in order: its own, and of
// the hosts that wrote those the latest lines before them on the targets that
// they name, on other hosts, the configuration, and where entries are read.
func Request(lines []Line, id string) []Line {
	var own []Line
	for _, l := range lines {
		if l.fields["request"] == id {
			own = append(own, l)
		}
	}
	picked := own
	for _, l := range own {
		picked = append(picked, beliefs(lines, l)...)
	}
	slices.SortStableFunc(picked, func(a, b Line) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.host, b.host), cmp.Compare(a.text, b.text))
	})
	return slices.CompactFunc(picked, func(a, b Line) bool {
		return a.at.Equal(b.at) && a.host == b.host && a.text == b.text
	})
}

// beliefs returns the latest line of each subject that the host of a line
// wrote in the time before it.
func beliefs(lines []Line, about Line) []Line {
	latest := make(map[string]Line)
	for _, l := range lines {
		if l.host != about.host || l.at.After(about.at) || about.at.Sub(l.at) > before {
			continue
		}
		subject := l.subject(about)
		if old, ok := latest[subject]; subject != "" && (!ok || !l.at.Before(old.at)) {
			latest[subject] = l
		}
	}
	out := make([]Line, 0, len(latest))
	for _, l := range latest {
		out = append(out, l)
	}
	return out
}

// subject returns what a line is about, if that may have decided on the
// request of another one; empty if not.
func (l Line) subject(about Line) string {
	if l.fields["request"] != "" {
		return ""
	}
	if key := l.fields["key"]; key != "" {
		_, id, _ := strings.Cut(key, "/")
		if strings.Contains(about.text, id) || l.fields["version"] != "" || l.fields["zone"] != "" {
			return "key " + key
		}
		return ""
	}
	if peer := l.fields["peer"]; peer != "" {
		return "peer " + peer
	}
	return l.fields["message"]
}
