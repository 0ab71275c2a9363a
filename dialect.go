package magnoliashore

import (
	"net/http"
	"time"
)

// CallerParams holds the parameters that a caller sends with its request.
type CallerParams struct {
	ID      string        // ID of the caller's request; targets return it
	Timeout time.Duration // the caller's timeout; zero if absent
	// Identity holds the caller's credentials; empty if it sends none. Requests of
	// different callers are different requests.
	Identity string
}

// TargetParams holds the parameters sent to a target with a request.
type TargetParams struct {
	Timeout time.Duration // time left for the request
	Target  TargetID      // intended recipient; no other target may run the request
}

// IsRefusal reports whether a status tells a caller that its request has not run and
// never will, so that the caller may send it again.
func IsRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// TargetReply holds the fields that a target returns with its answer.
type TargetReply struct {
	RequestID   string        // ID of the answered request; empty if absent
	Signature   string        // the target's signature of the answer; empty if absent
	NotRun      bool          // whether the request did not run and never will
	Misdirected bool          // whether the request was meant for another target, as the answer has it
	Instance    string        // ID of the process that answered; empty if absent
	Leaving     bool          // whether the target that answered leaves
	Cold        time.Duration // remaining time for which the target is cold; zero if absent
	Limited     bool          // whether the target names a limit
	Limit       float64       // requests per second that the target takes from all hosts together
}

// Dialect reads and writes the HTTP header fields of callers and targets.
type Dialect interface {
	// Caller reads the parameters in a caller's request.
	Caller(h http.Header) CallerParams
	// Order writes the parameters for a target into its request.
	Order(h http.Header, params TargetParams)
	// Reply reads the fields of a target's answer.
	Reply(status int, h http.Header) TargetReply
	// Coverage writes the signatures of the partial results in an answer, and
	// the number of missing shards.
	Coverage(h http.Header, proofs []string, missing int)
	// Signature reports whether proof is a well-formed signature that Coverage
	// can write.
	Signature(proof string) bool
}
