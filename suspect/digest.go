// Package suspect finds the requests that end the targets which run them, often
// called queries of death. It keeps which targets ended while they ran a request,
// whoever sent it, and decides when the request is refused and when it may be tried
// again. It reads no clock and does no I/O.
package suspect

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// Digest identifies requests that are the same, apart from their IDs. It is
// cryptographic, so that no caller can have the requests of others refused.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Request holds what identifies a request.
type Request struct {
	Method   string
	Host     string
	URI      string // path and query as sent by the caller
	Identity string // credentials of the caller; empty if it has none
	Body     []byte // the part that is buffered
	Rest     int64  // bytes of the body that follow; negative if unknown
}

// Sum returns the digest of a request. Of a long body, it covers the buffered part
// and the length: the rest is read only while it is sent.
func Sum(r Request) Digest {
	h := sha256.New()
	for _, field := range []string{r.Method, strings.ToLower(r.Host), r.URI, r.Identity, string(r.Body)} {
		// Writing to a hash never fails.
		_ = binary.Write(h, binary.BigEndian, int64(len(field)))
		_, _ = h.Write([]byte(field))
	}
	_ = binary.Write(h, binary.BigEndian, r.Rest)
	return Digest(h.Sum(nil)[:len(Digest{})])
}
