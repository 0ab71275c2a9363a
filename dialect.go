package magnoliashore

import (
	"net/http"
	"time"
)

// CallerTerms is what a caller states about its request.
type CallerTerms struct {
	ID       string        // names this attempt of the caller; targets repeat it
	Patience time.Duration // how long the caller waits for the answer; zero if not stated
}

// TargetTerms is what a target is told about a request.
type TargetTerms struct {
	Patience time.Duration // how long the request may still take
	Target   TargetID      // the only process that is to run it
}

// TargetReply is what a target states about a request with its answer.
type TargetReply struct {
	Echo     string        // the ID of the request that was answered; empty if not stated
	Proof    string        // the target's signature of the answer; empty if there is none
	NotRun   bool          // the request did not run and never will
	Instance string        // the process that answered; empty if not stated
	Cold     time.Duration // for how long the target stays cold; zero if not stated
}

// Dialect translates the header fields of callers and targets.
type Dialect interface {
	// Caller reads what a caller states.
	Caller(h http.Header) CallerTerms
	// Order writes what a target is told into the fields of its request.
	Order(h http.Header, terms TargetTerms)
	// Reply reads what a target states.
	Reply(status int, h http.Header) TargetReply
	// Coverage writes the signatures of the parts of an answer over shards,
	// and how many shards are missing in it.
	Coverage(h http.Header, proofs []string, missing int)
	// Signature reports whether proof has the form of a target's signature and
	// can be named in Coverage.
	Signature(proof string) bool
}
