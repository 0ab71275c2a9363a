// Package peer implements the protocol between entry hosts: WebSocket messages
// that hold one CBOR frame each. A Link connects to one other host and sends it
// this host's requests; a Server accepts the links of other hosts.
//
// Each sub-request that is submitted to a Link gets exactly one final answer
// unless it is cancelled: the answer of the owner, or "not run" if its frame was
// never written, or "unknown" if the connection broke after the write began.
package peer
