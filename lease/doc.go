// Package lease provides the exclusive right of one host to send work to a
// target that is cold.
//
// Every host of a cell is both grantor and holder. A grantor promises each
// key to one process for one Term from the receipt of its ask. A holder has
// the lease on a key while a quorum of promises runs, counted from before the
// ask on its own monotonic clock and shortened by Margin. Nothing is stored:
// a new process abstains from granting until a quorum of the other seats has
// recorded its incarnation and one Term and Margin have passed since.
//
// What is assumed: clocks of two hosts drift apart by less than Margin during
// one Term; incarnations of a seat are unique and rise; the processes that
// were replaced and still run are fewer than a quorum; when a majority of the
// seats starts anew and meets no settled process, no older process runs. In a
// cell of one seat the replaced process must have ended. A roster change
// keeps its former seats until a quorum of them has applied it.
//
// The package is pure: every time is passed in, and a Node is not safe for
// concurrent use.
package lease
