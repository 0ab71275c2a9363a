package proof

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/magnoliashore/magnoliashore/standin"
)

// traceWindow is the time before an entry that its trace covers.
const traceWindow = 150 * time.Millisecond

// trace returns the ledger entries of a target that overlap an entry or the
// traceWindow before it, ordered by start.
func (c *cell) trace(entry standin.Entry) string {
	var list []standin.Entry
	for _, e := range c.ledger() {
		near := e.End().After(entry.Start().Add(-traceWindow)) && !e.Start().After(entry.End())
		if e.Target() == entry.Target() && near {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b standin.Entry) int { return cmp.Compare(a.Start().UnixNano(), b.Start().UnixNano()) })
	var text strings.Builder
	for _, e := range list {
		process := e.Incarnation()[strings.LastIndex(e.Incarnation(), "-")+1:]
		fmt.Fprintf(&text, "\n  %s to %s process %s %s request %d begun %v cold %v reported %v running %d %s %s",
			e.Start().Format("05.000000"), e.End().Format("05.000000"), process, e.Query(), e.Request(),
			e.Begun(), e.Cold(), e.ColdReported(), e.Running(), e.Result(), e.Reason())
	}
	return text.String()
}
