// Package explain finds the log lines of several hosts that explain the outcome
// of one request: the request's own lines, and earlier lines that show the
// state on which its hosts based their decisions.
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

// lookback is the maximum age of a state line, relative to a line of the request.
const lookback = 15 * time.Second

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is a parsed log line.
type Line struct {
	at     time.Time
	host   string
	text   string
	fields map[string]string
}

// At returns the time of the line by its host's clock.
func (l Line) At() time.Time { return l.at }

// Host returns the host that wrote the line.
func (l Line) Host() string { return l.host }

// Text returns the fields in logfmt, without timestamp, host and source.
func (l Line) Text() string { return l.text }

// Read returns the lines of a log that have a timestamp. It ignores any text
// before the timestamp.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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
				rest = append(rest, key+"="+quote(value))
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

func quote(value string) string {
	if strings.ContainsAny(value, " =\"") {
		return `"` + strings.ReplaceAll(value, `"`, `'`) + `"`
	}
	return value
}

// Request returns the lines that explain the outcome of a request, sorted by
// time. These are the lines of the request itself and, for each of them, the
// latest earlier lines of the same host about the targets that it names, other
// hosts, the configuration and the source of entries.
func Request(lines []Line, id string) []Line {
	var own []Line
	for _, l := range lines {
		if l.fields["request"] == id {
			own = append(own, l)
		}
	}
	selected := own
	for _, l := range own {
		selected = append(selected, stateBefore(lines, l)...)
	}
	slices.SortStableFunc(selected, func(a, b Line) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.host, b.host), cmp.Compare(a.text, b.text))
	})
	return slices.CompactFunc(selected, func(a, b Line) bool {
		return a.at.Equal(b.at) && a.host == b.host && a.text == b.text
	})
}

// stateBefore returns the latest line about each subject that the host of
// requestLine wrote within lookback before it.
func stateBefore(lines []Line, requestLine Line) []Line {
	latest := make(map[string]Line)
	for _, l := range lines {
		if l.host != requestLine.host || l.at.After(requestLine.at) || requestLine.at.Sub(l.at) > lookback {
			continue
		}
		subject := l.subject(requestLine)
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

// subject returns a key for what the line is about: a configuration key, a peer
// or a kind of message. It is empty if the line cannot have affected the
// request of requestLine.
func (l Line) subject(requestLine Line) string {
	if l.fields["request"] != "" {
		return ""
	}
	if key := l.fields["key"]; key != "" {
		_, id, _ := strings.Cut(key, "/")
		if strings.Contains(requestLine.text, id) || l.fields["version"] != "" || l.fields["zone"] != "" {
			return "key " + key
		}
		return ""
	}
	if peer := l.fields["peer"]; peer != "" {
		return "peer " + peer
	}
	return l.fields["message"]
}
