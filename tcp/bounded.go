package tcp

import (
	"io"
	"math"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrTooLong means that more bytes arrived than were to be read.
var ErrTooLong = errors.New("the other side sent more bytes than allowed")

// BoundedReader fails with ErrTooLong once it has read the bytes that Allow allowed.
// Before the first call of Allow it reads without a bound.
type BoundedReader struct {
	source io.Reader
	left   atomic.Int64
}

// NewBoundedReader returns a reader of source.
func NewBoundedReader(source io.Reader) *BoundedReader {
	r := &BoundedReader{source: source}
	r.AllowAll()
	return r
}

// Allow allows n more bytes.
func (r *BoundedReader) Allow(n int64) { r.left.Store(n) }

// AllowAll lifts the bound.
func (r *BoundedReader) AllowAll() { r.left.Store(math.MaxInt64) }

// Read reads from the source within the bound.
func (r *BoundedReader) Read(p []byte) (int, error) {
	left := r.left.Load()
	if left <= 0 {
		return 0, ErrTooLong
	}
	n, err := r.source.Read(p[:min(int64(len(p)), left)])
	r.left.Add(-int64(n))
	return n, err
}
