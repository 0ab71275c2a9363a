// Package lease gives one host of a cell at a time the exclusive right to send
// work to a cold target.
//
// Every host of a cell is both a grantor and a holder. A grantor promises each
// key to one process for one Term, counted from the receipt of the request. A
// holder has the lease on a key while a quorum of grantors promises it. The
// holder counts each promise from before it sent the request, on its own
// monotonic clock, and shortens it by Margin. A holder's own vote alone is a
// quorum only in a cell of one seat.
//
// Nothing is stored on disk. A new process grants nothing until it has
// settled: enough other seats have recorded its incarnation, and one Term plus
// Margin has passed since.
//
// The package assumes that
//   - the clocks of two hosts drift apart by less than Margin during one
//     Term, and keep running while a process or its machine is suspended;
//   - the incarnations of a seat are unique and increase;
//   - while a replaced process still runs, only a minority of the seats has
//     not settled;
//   - when a majority starts anew and meets no settled process, no older
//     process runs;
//   - in a cell of one seat, a replaced process has ended;
//   - a roster change keeps the former seats until a quorum of them has
//     applied it.
//
// While two hosts want the same key, each may get some of the promises and
// neither the lease, until one of them stops wanting the key.
//
// The package is pure: the caller passes in every time. A Node is not safe for
// concurrent use.
package lease
