// Package target provides connections towards targets: it sends one
// sub-request at a time over each and says truly whether it can have run.
//
// # What may be sent twice
//
// Nothing. A request belongs to the first connection that begins to write it;
// every other write of it is refused. When a request fails, its right to be
// written is withdrawn before the outcome is stated, so that "notrun" cannot
// be followed by a late write.
//
// # The check before the write
//
// Each write compares the clock with the request's gate as the last step
// before the system call. A process that is frozen between the two writes
// after the gate. The target's protocol carries the deadline as a wall clock
// time, less the clocks' error (Pool.Skew), so that the target refuses what
// such a process writes after the deadline. Until the deadline the request
// may still start at the target; the holder of a lease therefore sends cold
// work only if its deadline ends inside the lease.
//
// # Bytes that wait in a socket
//
// A successful write puts the bytes into the kernel's send buffer, and from
// there they can reach the target later, for as long as the kernel repeats
// them. Three things bound this:
//
//   - TCP_USER_TIMEOUT (Pool.UserTimeout): the kernel drops the connection
//     with its bytes once they have been unacknowledged, or kept back by a
//     full receive window, for that long. It must be below the margin between
//     two leases.
//   - Closing a connection alone does not withdraw the bytes: the kernel goes
//     on sending them in the background. A connection that is closed and still
//     has unacknowledged bytes at the gate, or when the wait for the target is
//     over, is therefore reset, which discards them.
//   - A write that blocks on a full buffer ends at the gate.
//
// Bytes that the target's kernel has acknowledged, but its process has not
// read, are out of reach from here. Only the target's own check of the
// Deadline header stops them. A target that ignores this header can start
// such a request late.
//
// # Letting go
//
// A cancelled request runs on until the target notices the end of the stream.
// The connection is therefore closed in two steps: the stream towards the
// target ends, and the socket is released when the target ends its stream too.
// Until then Send does not return, so that its slot stays taken, and the
// connection keeps its place in the target's limit. Pool.Release bounds both;
// a target that has not noticed by then may still be running the request.
//
// The outcome of a request of which any byte was written is "unknown" unless
// the target replies, whatever becomes of its bytes.
package target
