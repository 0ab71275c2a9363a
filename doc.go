// Package magnoliashore provides the domain types of a query tier in front of
// many shards, and interfaces for the parts with several implementations.
//
// The packages lease, owner, warm, admit, hedge, ticket, plan and merge make
// the decisions. They take the time as an input: they start no goroutines, do
// no I/O and read no clock, so other programs can embed them. The package
// entry combines them into an entry host.
//
// Every time.Time comes from one Clock and has a monotonic clock reading.
package magnoliashore
