package magnoliashore

// Outcome states what is known of whether a request ran.
type Outcome int

// The outcomes of a query or a sub-request.
const (
	// OutcomeUnknown says that the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeRan says that the request ran.
	OutcomeRan
	// OutcomeNotRun says that the request did not run and never will.
	OutcomeNotRun
)

// String returns the outcome as answers write it.
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

// ParseOutcome returns the outcome that String wrote as text.
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

// Reason says in one word why a request was refused or a partition is missing.
type Reason string

// The reasons.
const (
	ReasonNone        Reason = ""
	ReasonDeadline    Reason = "deadline"    // no time was left, or would have been
	ReasonBusy        Reason = "busy"        // the queue or the class's share is full
	ReasonCold        Reason = "cold"        // the target is cold and has all the work it bears
	ReasonLease       Reason = "lease"       // the target is cold and this host has no lease on it
	ReasonOwner       Reason = "owner"       // no entry host could be found for the target
	ReasonZone        Reason = "zone"        // the availability zone is out
	ReasonLeaving     Reason = "leaving"     // the target or entry host is leaving
	ReasonOff         Reason = "off"         // an operator has switched the service off
	ReasonSnapshot    Reason = "snapshot"    // the target no longer has, or answered from another, snapshot
	ReasonUnreachable Reason = "unreachable" // no connection to the peer or target
	ReasonLost        Reason = "lost"        // the connection broke after the send
	ReasonInvalid     Reason = "invalid"     // the reply was truncated, mismatched or malformed
	ReasonShed        Reason = "shed"        // the target refused the request
	ReasonRequest     Reason = "request"     // the request itself is wrong
	ReasonTicket      Reason = "ticket"      // the ticket is missing, too old or not for this host
	ReasonStarting    Reason = "starting"    // the entry host has no configuration yet
	ReasonCancelled   Reason = "cancelled"   // the caller gave up, or another replica answered first
	ReasonCoverage    Reason = "coverage"    // less than the service's lowest useful coverage
	ReasonFault       Reason = "fault"       // an internal error, reported with its step
)
