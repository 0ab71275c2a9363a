package configservice

import (
	"math/rand/v2"
	"time"
)

// Role says whether a host watches the platform itself.
type Role int

// The roles.
const (
	// Idle means that another host of the cell watches. This host receives new
	// versions from its peers and reads the platform only at Reader.Next.
	Idle Role = iota
	// Watch means that this host watches every key.
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
	// Rank is the position of the host among the readers of its cell, from zero.
	Rank int
	// Poll is the mean interval between reads by an idle host.
	Poll time.Duration
	// Quiet is how long one rank may be silent before the next one takes over.
	Quiet time.Duration
	// Rand is the source of the jitter; nil means one seeded by Rank and Poll.
	Rand *rand.Rand
}

// Reader decides when a host reads the platform. One host of a cell watches it,
// and the next rank takes over if that host is silent. Reader does not read the
// clock and is not safe for concurrent use.
type Reader struct {
	cfg      ReaderConfig
	lastRead time.Time // last known read by a lower rank
}

// NewReader returns a reader that counts the silence of lower ranks from the
// first call of Role, Next or RecordRead.
func NewReader(cfg ReaderConfig) *Reader {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(uint64(cfg.Rank), uint64(cfg.Poll)))
	}
	return &Reader{cfg: cfg}
}

// RecordRead records that a peer reported that a reader of lower rank has read the
// platform recently.
func (r *Reader) RecordRead(now time.Time) {
	if now.After(r.lastRead) {
		r.lastRead = now
	}
}

// Role returns Watch for rank zero, and for a higher rank if no read by a lower
// rank was recorded for Quiet times Rank.
func (r *Reader) Role(now time.Time) Role {
	r.initialize(now)
	if r.cfg.Rank <= 0 {
		return Watch
	}
	silence := now.Sub(r.lastRead)
	if silence >= r.cfg.Quiet*time.Duration(r.cfg.Rank) {
		return Watch
	}
	return Idle
}

// Next returns the time of an idle host's next read: between 0.5 and 1.5 times
// Poll after now. Call it once after each read.
func (r *Reader) Next(now time.Time) time.Time {
	r.initialize(now)
	if r.cfg.Poll <= 0 {
		return now
	}
	jitter := time.Duration(r.cfg.Rand.Int64N(int64(r.cfg.Poll)))
	return now.Add(r.cfg.Poll/2 + jitter)
}

func (r *Reader) initialize(now time.Time) {
	if r.lastRead.IsZero() {
		r.lastRead = now
	}
}
