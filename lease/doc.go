// Package lease provides the exclusive right of one host to send work to a
// target that is cold.
//
// Every host of a cell is both grantor and holder. A grantor promises each
// key to one process for one Term from the receipt of its ask. A holder has
// the lease on a key while a quorum of promises runs, counted from before the
// ask on its own monotonic clock and shortened by Margin. Its own vote alone
// is a quorum only in a cell of one seat. Nothing is stored: a new process
// abstains from granting until enough other seats have recorded its
// incarnation and one Term and Margin have passed since.
//
// What is assumed: the clocks of two hosts drift apart by less than Margin
// during one Term, and go on while a process or its machine is suspended;
// incarnations of a seat are unique and rise; while a replaced process still
// runs, only a minority of the seats has not settled, and when a majority
// starts anew and meets no settled process, no older process runs; in a cell
// of one seat a replaced process has ended; a roster change keeps its former
// seats until a quorum of them has applied it.
//
// Two hosts that go on wanting one key may each get a part of the promises
// and neither the lease, until one stops wanting it.
//
// The package is pure: every time is passed in, and a Node is not safe for
// concurrent use.
package lease
