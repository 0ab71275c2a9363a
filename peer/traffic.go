package peer

import "sync/atomic"

// frameOverhead is the size in bytes of the headers of a short frame: IP, TCP
// with timestamps, and WebSocket.
const frameOverhead = 20 + 32 + 6

// Traffic counts the bytes of control frames, including headers. Control frames
// are all frames but queries, cancellations and answers. A nil Traffic counts
// nothing.
type Traffic struct {
	sent     atomic.Uint64
	received atomic.Uint64
}

// Sent returns the bytes sent since the start.
func (t *Traffic) Sent() uint64 { return t.sent.Load() }

// Received returns the bytes received since the start.
func (t *Traffic) Received() uint64 { return t.received.Load() }

func (t *Traffic) countSent(frame []byte) {
	if t != nil && isControl(frame) {
		t.sent.Add(uint64(len(frame) + frameOverhead))
	}
}

func (t *Traffic) countReceived(frame []byte) {
	if t != nil && isControl(frame) {
		t.received.Add(uint64(len(frame) + frameOverhead))
	}
}

func isControl(frame []byte) bool {
	if len(frame) == 0 {
		return false
	}
	switch frame[0] {
	case kindBatch, kindAnswers, kindCancel, kindForward, kindForwarded:
		return false
	default:
		return true
	}
}
