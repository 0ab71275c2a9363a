package ticket

// Decision is what to do with a query that carries a ticket.
type Decision int

// Decisions of Ledger.Begin.
const (
	// Run means that the ticket is new and now recorded: run the query, then call
	// Finish.
	Run Decision = iota + 1
	// Joined means that the ticket's query is already running: wait for its
	// answer.
	Joined
	// Final means that the query has finished: return the answer from Begin.
	Final
	// Unknown means that the ticket may have been used: return the answer from
	// Begin and do not run the query.
	Unknown
	// Refused means that the ticket was not used and never will be: return the
	// answer from Begin.
	Refused
	// Elsewhere means that the ticket is for another host: forward the query to it.
	Elsewhere
)

// String returns the decision in one word.
func (d Decision) String() string {
	switch d {
	case Run:
		return "run"
	case Joined:
		return "joined"
	case Final:
		return "final"
	case Unknown:
		return "unknown"
	case Refused:
		return "refused"
	case Elsewhere:
		return "elsewhere"
	default:
		return "invalid"
	}
}
