package hedge

import "sync"

// tokenUnits is how many units of a budget one extra sub-request costs.
const tokenUnits = 1_000_000

// Budget bounds the extra sub-requests, hedges and retries together, to a
// share of the first ones. It starts empty, so that at every moment
// extra <= share x first. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	share int64 // units earned per first sub-request
	most  int64 // units that may be saved up
	units int64
}

// NewBudget returns an empty budget that earns share, 0 to 1, extra
// sub-requests per first one, and saves up at most burst of them. A share or
// burst of zero means that there is never an extra one.
func NewBudget(share float64, burst int) *Budget {
	share = min(max(share, 0), 1)
	return &Budget{
		share: int64(share * tokenUnits),
		most:  int64(max(burst, 0)) * tokenUnits,
	}
}

// Earn counts n first sub-requests.
func (b *Budget) Earn(n int) {
	if n <= 0 || b.share == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if int64(n) >= b.most/b.share+1 {
		b.units = b.most
		return
	}
	b.units = min(b.units+int64(n)*b.share, b.most)
}

// Take spends one extra sub-request, or returns false if the budget does not
// have it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.units < tokenUnits {
		return false
	}
	b.units -= tokenUnits
	return true
}
