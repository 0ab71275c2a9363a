package configservice

import (
	"math/rand/v2"
	"time"
)

// Role says whether a host watches the platform itself.
type Role int

// The roles.
const (
	// Idle says that another host of the cell watches; this one hears of new
	// versions from its peers and reads the platform only at Reader.Next.
	Idle Role = iota
	// Watch says that this host holds a watch on each key.
	Watch
)

// String returns the role in one word.
func (r Role) String() string {
	if r == Watch {
		return "watch"
	}
	return "idle"
}

// ReaderConfig configures a Reader.
type ReaderConfig struct {
	// Rank is the host's place among the readers of its cell, from zero.
	Rank int
	// Poll is the mean time between the reads of an idle host.
	Poll time.Duration
	// Quiet is how long one rank may be silent before the next takes over.
	Quiet time.Duration
	// Rand is the random source of the jitter; nil means one seeded by Rank.
	Rand *rand.Rand
}

// Reader decides when a host calls the platform, so that one host of a cell
// watches it and a silent one is replaced by the next rank. It reads no clock
// and is not safe for concurrent use.
type Reader struct {
	cfg   ReaderConfig
	heard time.Time // when a reader of lower rank was last known to read
}

// NewReader returns a reader. The silence of lower ranks counts from the
// first call of a method.
func NewReader(cfg ReaderConfig) *Reader {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(uint64(cfg.Rank), uint64(cfg.Poll)))
	}
	return &Reader{cfg: cfg}
}

// RecordRead records that a peer reported that a reader of lower rank has read the
// platform recently.
func (r *Reader) RecordRead(now time.Time) {
	if now.After(r.heard) {
		r.heard = now
	}
}

// Role returns Watch for rank zero, and for a higher rank when no reader of a
// lower one was heard for Quiet times Rank.
func (r *Reader) Role(now time.Time) Role {
	r.begin(now)
	if r.cfg.Rank <= 0 {
		return Watch
	}
	silence := now.Sub(r.heard)
	if silence >= r.cfg.Quiet*time.Duration(r.cfg.Rank) {
		return Watch
	}
	return Idle
}

// Next returns when an idle host reads the platform next: between a half and
// one and a half times Poll after now. Call it once after each read.
func (r *Reader) Next(now time.Time) time.Time {
	r.begin(now)
	if r.cfg.Poll <= 0 {
		return now
	}
	jitter := time.Duration(r.cfg.Rand.Int64N(int64(r.cfg.Poll)))
	return now.Add(r.cfg.Poll/2 + jitter)
}

func (r *Reader) begin(now time.Time) {
	if r.heard.IsZero() {
		r.heard = now
	}
}
