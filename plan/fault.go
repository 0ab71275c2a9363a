package plan

import (
	"fmt"

	"github.com/magnoliashore/magnoliashore"
)

// Fault is the error for a query for which no plan can be made. No sub-request
// was sent.
type Fault struct {
	reason magnoliashore.Reason
	detail string
}

// Reason returns ReasonRequest if the query is invalid, ReasonSnapshot if there
// is no data for it, and ReasonOff if all its services are switched off.
func (f *Fault) Reason() magnoliashore.Reason { return f.reason }

// Detail returns a description of the fault.
func (f *Fault) Detail() string { return f.detail }

// Error implements error. It returns the reason and the detail in one line.
func (f *Fault) Error() string { return fmt.Sprintf("plan: %s: %s", f.reason, f.detail) }

func fault(reason magnoliashore.Reason, format string, args ...any) *Fault {
	return &Fault{reason: reason, detail: fmt.Sprintf(format, args...)}
}
