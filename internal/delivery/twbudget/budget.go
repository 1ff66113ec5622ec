// Package twbudget bounds retries to a share of fresh traffic.
package twbudget

import "sync"

const (
	// retryShare is how many retries each fresh request earns.
	retryShare = 0.2
	// maxSaved lets a quiet service retry through a short fault.
	maxSaved = 50
)

// Budget bounds the retries of one service.
//
// Without it each failure at the peak adds load that makes more fail: the symptom is a goodput that
// does not come back after the fault is over. A share of fresh traffic can't feed itself.
type Budget struct {
	mu    sync.Mutex
	saved float64
}

// New returns a full budget.
func New() *Budget { return &Budget{saved: maxSaved} }

// Earn counts a fresh request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(maxSaved, b.saved+retryShare)
}

// Spend takes one retry; it returns false when the budget is used up.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
