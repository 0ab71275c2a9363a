package admit

import "time"

// Bucket is a token bucket. The first call of Refill fills it with one token. It is
// not safe for concurrent use.
type Bucket struct {
	tokens   float64
	refilled time.Time // time of the last refill
}

// Refill adds rate tokens per second since the last call, up to capacity, and
// returns the tokens.
func (b *Bucket) Refill(now time.Time, rate, capacity float64) float64 {
	if b.refilled.IsZero() {
		b.tokens, b.refilled = 1, now
	}
	b.tokens = min(b.tokens+rate*now.Sub(b.refilled).Seconds(), capacity)
	b.refilled = now
	return b.tokens
}

// Take spends one token.
func (b *Bucket) Take() { b.Spend(1) }

// Spend spends tokens. There may be fewer: the missing ones are refilled first.
func (b *Bucket) Spend(tokens float64) { b.tokens -= tokens }
