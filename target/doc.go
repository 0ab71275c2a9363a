// Package target is the HTTP client for targets. It sends one sub-request at a
// time over each connection and reports reliably whether the sub-request can
// have run.
//
// # No duplicate sends
//
// A request is never sent twice. It belongs to the first connection that starts
// to write it; a write on any other connection is refused. When a request fails,
// the permission to write it is revoked before the outcome is reported, so that
// no late write can follow the outcome "notrun".
//
// # Write deadline
//
// Each write compares the clock with the request's write deadline as the last
// step before the system call. A process that is suspended between the
// comparison and the call still writes after the write deadline. The target
// protocol therefore carries the request's deadline as a wall clock time, reduced
// by the maximum clock error (Pool.MaxClockSkew), and the target refuses what such
// a process writes after it. Until then the request may still start at the target,
// so the holder of a lease sends work to a cold target only if the deadline is
// within the lease.
//
// # Data in the send buffer
//
// A successful write copies the bytes to the kernel's send buffer. From there
// they can reach the target later, as long as the kernel retransmits them. Three
// rules limit this:
//
//   - TCP_USER_TIMEOUT (Pool.UserTimeout): the kernel closes the connection and
//     discards its bytes once they have been unacknowledged, or held back by a
//     full receive window, for that long. It must be shorter than the margin
//     between two leases.
//   - Closing a connection does not discard the bytes: the kernel keeps sending
//     them in the background. A closed connection that still has unacknowledged
//     bytes at the write deadline, or at the end of the wait for the target, is
//     therefore reset, which discards them.
//   - A write that blocks on a full buffer ends at the write deadline.
//
// Bytes that the target's kernel has acknowledged, but its process has not read,
// cannot be recalled. Only the target's own check of the Deadline header stops
// them. A target that ignores this header can start such a request late.
//
// # Cancellation
//
// A cancelled request keeps running until the target notices the end of the
// stream. A connection is therefore closed in two steps: first the stream
// towards the target is ended, then the socket is released when the target has
// ended its stream too. Until then Send does not return, so that the request's
// slot stays occupied, and the connection counts against the target's limit.
// Pool.ReleaseTimeout limits both; a target that has not noticed by then may
// still be running the request.
//
// Once any byte of a request has been written, its outcome is "unknown" unless
// the target replies.
package target
