package ticket

// Decision says what to do with a query that carries a ticket.
type Decision int

// The decisions.
const (
	// Run says that the ticket is new and recorded: run the query, then call
	// Finish.
	Run Decision = iota + 1
	// Joined says that the query of the ticket is running: wait for its
	// answer.
	Joined
	// Final says that the query has its final answer, which comes with it.
	Final
	// Unknown says that the ledger cannot tell whether the ticket was used:
	// give the answer that comes with it, and do not run the query.
	Unknown
	// Refused says that the ticket was never used and never will be: give the
	// answer that comes with it.
	Refused
	// Elsewhere says that another host decides: forward the query to it.
	Elsewhere
)

// String returns the verdict in one word.
func (v Decision) String() string {
	switch v {
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
