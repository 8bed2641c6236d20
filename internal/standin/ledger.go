package standin

import (
	"sync"
	"time"

	"carawaycart"
)

// Ledger counts what really happened, as the stand-ins saw it; it is safe for
// concurrent use.
type Ledger struct {
	mu     sync.Mutex
	totals Totals
	runs   map[carawaycart.IdempotencyKey]int
	marks  map[string]time.Time // when an endpoint or zone must get nothing more
}

// Totals are the sums of a ledger.
type Totals struct {
	FlowsOpened           int `json:"flowsOpened"`
	FlowsBroken           int `json:"flowsBroken"`
	FlowsGivenUpByZoneOut int `json:"flowsGivenUpByZoneOut"`
	FlowsNotOpened        int `json:"flowsNotOpened"`
	OrdersSent            int `json:"ordersSent"`
	OrdersConfirmed       int `json:"ordersConfirmed"`
	OrdersRefusedNotRun   int `json:"ordersRefusedNotRun"`
	OrdersUnknown         int `json:"ordersUnknown"`
	OrdersRunTwice        int `json:"ordersRunTwice"`
	FalseRefusals         int `json:"falseRefusals"`
	AnswersCrossed        int `json:"answersCrossed"`
	AnswersTruncated      int `json:"answersTruncated"`
	PacketsToWrongService int `json:"packetsToWrongService"`
	PacketsAfterZoneOut   int `json:"packetsAfterZoneOut"`
	WorkAfterLeave        int `json:"workAfterLeave"`
	ColdOverload          int `json:"coldOverload"`
	RequestsCutByStop     int `json:"requestsCutByStop"`
	RequestsShed          int `json:"requestsShed"`
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: make(map[carawaycart.IdempotencyKey]int), marks: make(map[string]time.Time)}
}

// Count lets update change the totals.
func (l *Ledger) Count(update func(*Totals)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update(&l.totals)
}

// Totals returns the sums.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}

// run counts a run of the order with key k.
func (l *Ledger) run(k carawaycart.IdempotencyKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[k]++
	if l.runs[k] == 2 {
		l.totals.OrdersRunTwice++
	}
}

// Runs returns how often the order with key k was run.
func (l *Ledger) Runs(k carawaycart.IdempotencyKey) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[k]
}

// SetMark states that the named endpoint or zone must get nothing more from
// deadline on; a zero deadline ends that.
func (l *Ledger) SetMark(name string, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if deadline.IsZero() {
		delete(l.marks, name)
		return
	}
	l.marks[name] = deadline
}

// marked reports whether the named endpoint or zone must get nothing at now.
func (l *Ledger) marked(name string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	deadline, ok := l.marks[name]
	return ok && !now.Before(deadline)
}

// out reports whether the named zone was taken out, however lately.
func (l *Ledger) out(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.marks[name]
	return ok
}
