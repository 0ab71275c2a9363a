package plan

import (
	"fmt"

	"github.com/magnoliashore/magnoliashore"
)

// Fault says why no plan can be made for a query. No sub-request was sent.
type Fault struct {
	reason magnoliashore.Reason
	detail string
}

// Reason returns the reason in one word: ReasonRequest if the query itself is
// wrong, ReasonSnapshot if there is no data for it, ReasonOff if every service
// is switched off.
func (f *Fault) Reason() magnoliashore.Reason { return f.reason }

// Detail returns the reason as a sentence for a person.
func (f *Fault) Detail() string { return f.detail }

// Error returns reason and detail in one line.
func (f *Fault) Error() string { return fmt.Sprintf("plan: %s: %s", f.reason, f.detail) }

func fault(reason magnoliashore.Reason, format string, args ...any) *Fault {
	return &Fault{reason: reason, detail: fmt.Sprintf(format, args...)}
}
