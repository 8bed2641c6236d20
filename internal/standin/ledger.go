package standin

import (
	"sync"
	"time"

	"carawaycart"
)

// Ledger counts the events that the emulated endpoints and callers observe. It is
// safe for concurrent use.
type Ledger struct {
	mu        sync.Mutex
	totals    Totals
	runCounts map[carawaycart.IdempotencyKey]int // executions of keyed requests
	cutoffs   map[string]time.Time               // by endpoint or zone: time from which it must receive no more work
}

// Totals are the event counts of a ledger. The JSON names call keyed requests orders.
type Totals struct {
	FlowsOpened           int `json:"flowsOpened"`
	FlowsBroken           int `json:"flowsBroken"`           // reset, not acknowledged, or acknowledged by another endpoint
	FlowsEndedByZoneOut   int `json:"flowsGivenUpByZoneOut"` // broken while the zone of the endpoint was out of service
	FlowsNotOpened        int `json:"flowsNotOpened"`
	KeyedSent             int `json:"ordersSent"`
	KeyedAnswered         int `json:"ordersConfirmed"`
	KeyedNotRun           int `json:"ordersRefusedNotRun"` // not answered, without an attempt of unknown outcome
	KeyedUnknown          int `json:"ordersUnknown"`       // not answered, with an attempt of unknown outcome
	KeyedRunTwice         int `json:"ordersRunTwice"`      // run more than once
	FalseRefusals         int `json:"falseRefusals"`       // counted in KeyedNotRun, but run
	AnswersCrossed        int `json:"answersCrossed"`      // answers to another keyed request
	AnswersTruncated      int `json:"answersTruncated"`
	PacketsToWrongService int `json:"packetsToWrongService"` // packets and requests
	PacketsAfterZoneOut   int `json:"packetsAfterZoneOut"`   // packets and requests after the cutoff of the zone
	WorkAfterLeave        int `json:"workAfterLeave"`        // flows and requests after the cutoff of the endpoint
	ColdOverload          int `json:"coldOverload"`          // refused by endpoints that instances must know to be cold
	RequestsCutByStop     int `json:"requestsCutByStop"`     // connections broken during a planned stop of the instance
	RequestsShed          int `json:"requestsShed"`          // refused by endpoints without a free slot
}

// NewLedger returns a ledger whose totals are zero.
func NewLedger() *Ledger {
	return &Ledger{runCounts: make(map[carawaycart.IdempotencyKey]int), cutoffs: make(map[string]time.Time)}
}

// Update calls update with the totals while holding the ledger's lock.
func (l *Ledger) Update(update func(*Totals)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update(&l.totals)
}

// Totals returns a copy of the totals.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}

// recordRun counts an execution of the keyed request with key k.
func (l *Ledger) recordRun(k carawaycart.IdempotencyKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runCounts[k]++
	if l.runCounts[k] == 2 {
		l.totals.KeyedRunTwice++
	}
}

// Runs returns how often the keyed request with key k was executed.
func (l *Ledger) Runs(k carawaycart.IdempotencyKey) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runCounts[k]
}

// SetCutoff sets the time from which the named endpoint or zone must receive no
// more work. A zero deadline removes the cutoff.
func (l *Ledger) SetCutoff(name string, deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if deadline.IsZero() {
		delete(l.cutoffs, name)
		return
	}
	l.cutoffs[name] = deadline
}

// pastCutoff reports whether the cutoff of the named endpoint or zone has been
// reached at now.
func (l *Ledger) pastCutoff(name string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	deadline, ok := l.cutoffs[name]
	return ok && !now.Before(deadline)
}

// hasCutoff reports whether a cutoff is set for the named endpoint or zone, even
// if it has not been reached.
func (l *Ledger) hasCutoff(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, ok := l.cutoffs[name]
	return ok
}
