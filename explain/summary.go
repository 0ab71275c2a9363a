package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	// Messages of the lines that a gateway writes for each request.
	messageDone    = "request done"
	messageRefused = "request refused"

	// maxSummaryRows limits the reasons and the shards in a summary.
	maxSummaryRows = 12
)

// Summary counts the outcomes of all requests in the logs of several hosts.
type Summary struct {
	intervals map[time.Time]*interval
	reasons   map[string]int // of refusals, failures and missing shards
	shards    map[string]int // queries that lack the shard; a log line names three at most
}

// interval counts the requests that ended in one span of time.
type interval struct {
	whole, partial, refused, failed int
	missing                         int // shards, over all requests
	latencies                       []time.Duration
}

// Summarize counts the requests that ended in each interval of the given length.
func Summarize(lines []Line, length time.Duration) *Summary {
	s := &Summary{intervals: make(map[time.Time]*interval), reasons: make(map[string]int), shards: make(map[string]int)}
	for _, l := range lines {
		if message := l.fields["message"]; message != messageDone && message != messageRefused {
			continue
		}
		begin := l.at.Truncate(length)
		if s.intervals[begin] == nil {
			s.intervals[begin] = &interval{}
		}
		s.add(s.intervals[begin], l)
	}
	return s
}

// Empty reports whether the logs hold no request.
func (s *Summary) Empty() bool { return len(s.intervals) == 0 }

func (s *Summary) add(in *interval, l Line) {
	if l.fields["message"] == messageRefused {
		in.refused++
		s.reasons[generalize(l.fields["reason"])]++
		return
	}
	missing, _ := strconv.Atoi(l.fields["missing"]) // zero if the field is absent
	if took, err := time.ParseDuration(l.fields["took"]); err == nil {
		in.latencies = append(in.latencies, took)
	}
	in.missing += missing
	status, _ := strconv.Atoi(l.fields["outcome"]) // zero if the caller has left
	switch {
	case status < 200 || status >= 300:
		in.failed++
		s.reasons["outcome "+l.fields["outcome"]]++
	case missing > 0:
		in.partial++
	default:
		in.whole++
	}
	s.addFailures(l.fields["why"])
}

// addFailures counts the failures of shards that a line lists.
func (s *Summary) addFailures(list string) {
	for failure := range strings.SplitSeq(list, "; ") {
		shard, reason, ok := strings.Cut(failure, " ")
		if !ok || shard == "and" {
			continue
		}
		s.shards[shard]++
		s.reasons["shard "+generalize(reason)]++
	}
}

// particulars matches names of targets, addresses and counts, which differ from
// one failure to the next of the same kind.
var particulars = regexp.MustCompile(`\bi-\w+ ?|\d+(\.\d+){3}:\d+|\b\d+ of \d+\b`)

// generalize removes the particulars of a reason, so that reasons of one kind are
// counted together.
func generalize(reason string) string {
	return strings.TrimSpace(particulars.ReplaceAllString(reason, ""))
}

// Write writes the summary as tables: outcomes by interval, then the most common
// reasons and the shards that are missing most often.
func (s *Summary) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "from\twhole\tpartial\trefused\tfailed\tp50\tp90\tmissing shards") // Flush reports errors
	for _, begin := range slices.SortedFunc(maps.Keys(s.intervals), time.Time.Compare) {
		in := s.intervals[begin]
		slices.Sort(in.latencies)
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t%d\n", begin.Format("15:04:05.0"),
			in.whole, in.partial, in.refused, in.failed, in.quantile(0.5), in.quantile(0.9), in.missing)
	}
	writeCounts(table, "reason", s.reasons)
	writeCounts(table, "missing shard", s.shards)
	return table.Flush()
}

// quantile returns a quantile of the sorted latencies.
func (in *interval) quantile(q float64) time.Duration {
	if len(in.latencies) == 0 {
		return 0
	}
	return in.latencies[int(q*float64(len(in.latencies)-1))].Round(time.Millisecond)
}

// writeCounts writes the highest counts, under a title. Errors are left to the
// Flush of the table that w is.
func writeCounts(w *tabwriter.Writer, title string, counts map[string]int) {
	names := slices.SortedFunc(maps.Keys(counts), func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	_, _ = fmt.Fprintf(w, "\ncount\t%s\n", title)
	for _, name := range names[:min(len(names), maxSummaryRows)] {
		_, _ = fmt.Fprintf(w, "%d\t%s\n", counts[name], name)
	}
}
