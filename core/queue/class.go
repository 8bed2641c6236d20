package queue

import (
	"math"
	"time"
)

const (
	// arrivalPeriod is the time over which the work that arrives is averaged.
	arrivalPeriod = 500 * time.Millisecond
	// minClassWork is the work below which no requests of a class count as arriving.
	minClassWork = time.Millisecond
	// The trust in the expected wait of a class is multiplied by trustDecrease when a request
	// has waited longer, at most once in trustDecreasePeriod, and grows by trustIncrease with
	// each that has not.
	trustDecrease       = 0.7
	trustIncrease       = 0.003
	trustDecreasePeriod = 100 * time.Millisecond
	minTrust            = 0.1
)

// class is what a Queue knows of the requests of one priority.
type class struct {
	priority  int
	work      float64 // of those that have arrived lately, refused ones included, in nanoseconds
	updatedAt time.Time
	// trust is the factor by which the expected wait of the class is limited. It shrinks when
	// requests wait longer than expected, as when more urgent ones arrive later.
	trust     float64
	reducedAt time.Time // when trust was last reduced
}

// class returns the class with the given priority and adds it if it is new. The pointer is
// valid until the next class is added.
func (q *Queue) class(priority int) *class {
	for i := range q.classes {
		if q.classes[i].priority == priority {
			return &q.classes[i]
		}
	}
	q.classes = append(q.classes, class{priority: priority, trust: 1})
	return &q.classes[len(q.classes)-1]
}

// workAt returns the work of c, decayed to now.
func (c *class) workAt(now time.Time) float64 {
	return c.work * math.Exp(-float64(now.Sub(c.updatedAt))/float64(arrivalPeriod))
}

// recordArrival adds work that arrives at now.
func (c *class) recordArrival(work time.Duration, now time.Time) {
	c.work, c.updatedAt = c.workAt(now)+float64(work), now
}

// recordMissed records at now that a request which was queued on time is late.
func (c *class) recordMissed(now time.Time) {
	if now.Sub(c.reducedAt) >= trustDecreasePeriod {
		c.trust, c.reducedAt = max(c.trust*trustDecrease, minTrust), now
	}
}

// isMostUrgent reports whether requests of the given priority and less urgent ones have arrived
// lately, and no more urgent ones.
func (q *Queue) isMostUrgent(priority int, now time.Time) bool {
	others := false
	for i := range q.classes {
		c := &q.classes[i]
		if c.priority == priority || c.workAt(now) < float64(minClassWork) {
			continue
		}
		if c.priority < priority {
			return false
		}
		others = true
	}
	return others
}

// remainingPermits returns the part of permits that requests of a higher priority than
// the given one leave, by those that have arrived lately.
func (q *Queue) remainingPermits(permits, priority int, now time.Time) float64 {
	remaining := float64(permits)
	for i := range q.classes {
		if c := &q.classes[i]; c.priority < priority {
			remaining -= c.workAt(now) / float64(arrivalPeriod)
		}
	}
	return remaining
}
