package admit

import (
	"math"
	"time"
)

// Bucket is a token bucket. The first call of Refill fills it with one token. It is
// not safe for concurrent use.
type Bucket struct {
	tokens   float64
	refilled time.Time // time of the last refill
}

// NewBucket returns a bucket with tokens that is refilled from now on.
func NewBucket(now time.Time, tokens float64) Bucket { return Bucket{tokens: tokens, refilled: now} }

// Refill adds rate tokens per second since the last call, up to capacity, and
// returns the tokens. It removes none.
func (b *Bucket) Refill(now time.Time, rate, capacity float64) float64 {
	if b.refilled.IsZero() {
		b.tokens, b.refilled = 1, now
	}
	b.tokens = max(b.tokens, min(b.tokens+rate*now.Sub(b.refilled).Seconds(), capacity))
	b.refilled = now
	return b.tokens
}

// Round turns a part of a token into a whole one with the probability of that part,
// and else into none: random is a number from 0 to 1. It returns the tokens.
func (b *Bucket) Round(random float64) float64 {
	whole := math.Floor(b.tokens)
	if random < b.tokens-whole {
		whole++
	}
	b.tokens = whole
	return b.tokens
}

// Take spends one token.
func (b *Bucket) Take() { b.Spend(1) }

// Spend spends tokens. There may be fewer: the missing ones are refilled first.
func (b *Bucket) Spend(tokens float64) { b.tokens -= tokens }
