// Package magnoliashore provides the domain types of a query tier over many
// shards, and the interfaces of every behaviour that varies.
//
// The decision packages below this one (lease, owner, warm, admit, hedge,
// ticket, plan, merge) are pure: they take a time and an input and return a
// decision. They start no goroutine, do no I/O and read no clock, so another
// program can embed them. The package entry wires them into one entry host.
//
// Every time.Time is taken from one Clock and carries a monotonic reading;
// every time.Duration is in Go's own unit.
package magnoliashore
