// Package peer provides the protocol between entry hosts: WebSocket messages
// that hold one CBOR frame each. A Link dials one seat and carries this
// host's requests to it; a Server accepts the links of the others.
//
// A sub-request that was submitted to a Link gets exactly one final answer,
// unless it is cancelled: the owner's, or "not run" if its frame was never
// written, or "unknown" if the connection broke after the write began.
package peer
