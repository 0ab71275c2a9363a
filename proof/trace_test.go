package proof

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/magnoliashore/magnoliashore/standin"
)

// traceWindow is how much of a target's ledger a trace shows before an entry.
const traceWindow = 150 * time.Millisecond

// trace returns what a target recorded in the time before an entry, by start.
func (c *cell) trace(about standin.Entry) string {
	var list []standin.Entry
	for _, e := range c.ledger() {
		near := e.End().After(about.Start().Add(-traceWindow)) && !e.Start().After(about.End())
		if e.Target() == about.Target() && near {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b standin.Entry) int { return cmp.Compare(a.Start().UnixNano(), b.Start().UnixNano()) })
	var text strings.Builder
	for _, e := range list {
		process := e.Incarnation()[strings.LastIndex(e.Incarnation(), "-")+1:]
		fmt.Fprintf(&text, "\n  %s to %s process %s %s request %d begun %v cold %v told %v running %d %s %s",
			e.Start().Format("05.000000"), e.End().Format("05.000000"), process, e.Query(), e.Request(),
			e.Begun(), e.Cold(), e.ColdReported(), e.Running(), e.Result(), e.Reason())
	}
	return text.String()
}
