package origin

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// Bytes of an answer that are read whatever other answers hold: many times the usual
	// size of a partial result.
	freeBytes = 16 << 10
	// Bytes by which the part of an answer that is held grows beyond that.
	heldStep = 64 << 10
)

// heldBytes counts what the answers that are read or passed on hold beyond freeBytes each,
// so that many long ones at once cannot use up the memory of the host.
type heldBytes struct {
	used atomic.Int64
}

// take counts n more bytes, unless there would be more than limit; zero for no limit.
func (h *heldBytes) take(n, limit int64) bool {
	if h.used.Add(n) > limit && limit > 0 {
		h.used.Add(-n)
		return false
	}
	return true
}

// readBody reads at most limit bytes of a body. It reads fewer if other answers hold too
// many. It reports whether there is more, and returns how many bytes it has counted.
func (p *Pool) readBody(body io.Reader, limit int64) (data []byte, more bool, held int64, err error) {
	var buffer bytes.Buffer
	step := min(int64(freeBytes), limit)
	for {
		_, err = io.CopyN(&buffer, body, step)
		if errors.Is(err, io.EOF) {
			return buffer.Bytes(), false, held, nil
		}
		if err != nil {
			return nil, false, held, err
		}
		step = min(int64(heldStep), limit-int64(buffer.Len()))
		if step <= 0 || !p.held.take(step, p.MaxHeld) {
			return buffer.Bytes(), true, held, nil
		}
		held += step
	}
}
