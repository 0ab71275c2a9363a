package hedge

import "sync"

// tokenUnits is the cost of one extra sub-request, in units of a Budget.
const tokenUnits = 1_000_000

// Budget is a token bucket that limits the extra sub-requests, hedges and
// retries together, to a fraction of the first ones. It starts empty, so that
// extra <= share x first holds at all times. It is safe for concurrent use.
type Budget struct {
	mu            sync.Mutex
	unitsPerFirst int64 // units earned by each first sub-request
	maxUnits      int64 // most units that can accumulate
	units         int64 // current balance
}

// NewBudget returns an empty budget. Each first sub-request adds share extra
// ones, 0 to 1, up to a balance of burst. If share or burst is zero, no extra
// sub-request is allowed.
func NewBudget(share float64, burst int) *Budget {
	share = min(max(share, 0), 1)
	return &Budget{
		unitsPerFirst: int64(share * tokenUnits),
		maxUnits:      int64(max(burst, 0)) * tokenUnits,
	}
}

// Earn counts n first sub-requests.
func (b *Budget) Earn(n int) {
	if n <= 0 || b.unitsPerFirst == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if int64(n) >= b.maxUnits/b.unitsPerFirst+1 {
		b.units = b.maxUnits
		return
	}
	b.units = min(b.units+int64(n)*b.unitsPerFirst, b.maxUnits)
}

// Take spends one extra sub-request, or returns false if the budget is exhausted.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.units < tokenUnits {
		return false
	}
	b.units -= tokenUnits
	return true
}
