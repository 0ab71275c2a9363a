package magnoliashore

// Outcome tells whether a request ran.
type Outcome int

// The outcomes of a query or a sub-request.
const (
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeRan means that the request ran.
	OutcomeRan
	// OutcomeNotRun means that the request did not run and never will.
	OutcomeNotRun
)

// String returns the outcome as it is encoded in answers.
func (o Outcome) String() string {
	switch o {
	case OutcomeRan:
		return "ran"
	case OutcomeNotRun:
		return "notrun"
	default:
		return "unknown"
	}
}

// ParseOutcome is the inverse of String. It returns OutcomeUnknown for any
// other text.
func ParseOutcome(text string) Outcome {
	switch text {
	case "ran":
		return OutcomeRan
	case "notrun":
		return OutcomeNotRun
	default:
		return OutcomeUnknown
	}
}

// Reason is a one-word code for why a request was refused or a partition is
// missing.
type Reason string

// The reasons.
const (
	ReasonNone        Reason = ""
	ReasonDeadline    Reason = "deadline"    // the deadline has passed, or would pass before the request ran
	ReasonBusy        Reason = "busy"        // the queue, or the share of the class in it, is full
	ReasonCold        Reason = "cold"        // the target is cold and has reached its limit for that state
	ReasonLease       Reason = "lease"       // the target is cold and this host has no lease on it
	ReasonOwner       Reason = "owner"       // no entry host is available for the target
	ReasonZone        Reason = "zone"        // operators have taken the availability zone out
	ReasonLeaving     Reason = "leaving"     // the target or entry host is leaving
	ReasonOff         Reason = "off"         // an operator has switched the service off
	ReasonSnapshot    Reason = "snapshot"    // the target no longer has the snapshot or answered from another one
	ReasonUnreachable Reason = "unreachable" // no connection to the peer or target
	ReasonLost        Reason = "lost"        // the connection broke after the request was sent
	ReasonInvalid     Reason = "invalid"     // the reply was truncated, mismatched or malformed
	ReasonShed        Reason = "shed"        // the target refused the request
	ReasonRequest     Reason = "request"     // the request is invalid
	ReasonTicket      Reason = "ticket"      // the ticket is missing, too old or for another host
	ReasonStarting    Reason = "starting"    // the entry host has no configuration yet
	ReasonCancelled   Reason = "cancelled"   // the caller gave up, or another replica answered first
	ReasonCoverage    Reason = "coverage"    // the coverage is below the minimum of the service
	ReasonFault       Reason = "fault"       // internal error, reported with the failed operation
)
