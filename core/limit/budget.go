package limit

import (
	"sync"

	"carawaycart"
)

const (
	budgetBurst = 10.0 // retries that may be sent at once after a quiet time
	percent     = 100.0
)

// Budget bounds retries to a fraction of fresh requests; it is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	share  float64
	tokens float64
}

// NewBudget returns a full budget of share retries per fresh request.
func NewBudget(share float64) *Budget { return &Budget{share: share, tokens: budgetBurst} }

// Fresh counts a fresh request.
func (b *Budget) Fresh() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, budgetBurst)
}

// Retry takes one retry and reports whether there was one.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Budgets holds a budget for each service; it is safe for concurrent use.
type Budgets struct {
	mu      sync.Mutex
	budgets map[carawaycart.ServiceID]*Budget
}

// NewBudgets returns an empty Budgets.
func NewBudgets() *Budgets {
	return &Budgets{budgets: make(map[carawaycart.ServiceID]*Budget)}
}

// Of returns the budget of service id, whose profile allows retryPercent
// retries per hundred fresh requests.
func (b *Budgets) Of(id carawaycart.ServiceID, retryPercent int) *Budget {
	share := float64(retryPercent) / percent
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgets[id]
	if budget == nil {
		budget = NewBudget(share)
		b.budgets[id] = budget
	}
	budget.mu.Lock()
	budget.share = share
	budget.mu.Unlock()
	return budget
}
