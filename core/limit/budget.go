package limit

import (
	"sync"

	"carawaycart"
)

const (
	// maxBudgetTokens is the largest burst of retries. A new budget has this many
	// tokens.
	maxBudgetTokens = 10.0

	percent = 100.0
)

// Budget limits retries to a ratio of the first attempts at requests. It is a token
// bucket to which each first attempt adds the ratio and from which each retry takes
// one token. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ratio  float64 // retries per first attempt
	tokens float64 // retries that are available, at most maxBudgetTokens
}

// NewBudget returns a full budget that allows ratio retries per first attempt.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio, tokens: maxBudgetTokens} }

// RecordRequest records the first attempt at a request, which adds the ratio to the
// budget.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, maxBudgetTokens)
}

// TryRetry takes one retry from the budget and reports whether there was one.
func (b *Budget) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Budgets holds the budget of each service. It is safe for concurrent use.
type Budgets struct {
	mu      sync.Mutex
	budgets map[carawaycart.ServiceID]*Budget
}

// NewBudgets returns an empty Budgets.
func NewBudgets() *Budgets {
	return &Budgets{budgets: make(map[carawaycart.ServiceID]*Budget)}
}

// For returns the budget of service id and sets its ratio to retryPercent retries per
// hundred first attempts. The budget of a new service is full.
func (b *Budgets) For(id carawaycart.ServiceID, retryPercent int) *Budget {
	ratio := float64(retryPercent) / percent
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgets[id]
	if budget == nil {
		budget = NewBudget(ratio)
		b.budgets[id] = budget
	}
	budget.mu.Lock()
	budget.ratio = ratio
	budget.mu.Unlock()
	return budget
}
