package queue

import (
	"cmp"
	"time"

	"carawaycart"
)

const (
	// Late entries that may wait, at first and at most, for each request that may be in
	// progress. About 20 requests follow each other in the time for which callers wait.
	initialLatePerPermit = 1
	maxLatePerPermit     = 4
	// minPermitShare is the part of the permits that requests of higher priority have to leave
	// for others to be queued.
	minPermitShare = 0.05
	// lateServicePause is the time since the last first packet that could not be expected to
	// be served in time, after which late entries are dispatched. Before that, they would take
	// the slots of requests that can still meet their target.
	lateServicePause = 150 * time.Millisecond
	// lateDecreasePeriod is the minimum time between decreases of the limit of late entries.
	lateDecreasePeriod = 200 * time.Millisecond
	// lateRetryPeriod is the time after which a single late entry is queued again although none
	// was served before.
	lateRetryPeriod = 500 * time.Millisecond
)

// Entry is a first packet that waits.
type Entry struct {
	Key      carawaycart.FlowKey
	Sequence uint32        // sequence number of the first packet
	Priority int           // 0 is the highest
	Work     time.Duration // expected time in a request slot
	MaxWait  time.Duration // expected wait up to which the request is queued on time
	Deadline time.Time     // latest dispatch with which the response meets the target
	Expires  time.Time     // when the caller abandons the attempt
}

// isLate reports whether e cannot meet its target any more at now.
func (e *Entry) isLate(now time.Time) bool { return now.After(e.Deadline) }

// waiting is an Entry in a Queue.
type waiting struct {
	Entry
	expectedOnTime bool // whether it was queued to be served on time and is not late yet
}

// Verdict is what becomes of a first packet.
type Verdict int

// The verdicts.
const (
	Refused    Verdict = iota // the request cannot be expected to be served
	Queued                    // it is expected to be answered within its target
	QueuedLate                // it is served, late, if capacity becomes free
)

// Stats counts what became of the first packets that were added to a Queue.
type Stats struct {
	Queued, QueuedLate, Refused int
	ServedLate                  int // entries that were dispatched after their deadline
	Expired                     int // entries whose callers gave up
}

// Queue is a queue of first packets for one service. The zero value is empty. It is not safe
// for concurrent use.
type Queue struct {
	entries []*waiting // in the order of arrival
	byKey   map[carawaycart.FlowKey]*waiting
	stats   Stats
	// lateLimit limits the late entries. It grows while late entries are served and shrinks
	// when they expire, so that callers wait beyond their target only while that helps.
	lateLimit   int
	initialized bool // whether lateLimit is set
	permits     int  // of the latest Add
	classes     []class
	decreasedAt time.Time
	exceededAt  time.Time // when an entry was last refused or queued late
}

// Len returns the number of entries.
func (q *Queue) Len() int { return len(q.entries) }

// Contains reports whether the flow with key k is queued.
func (q *Queue) Contains(k carawaycart.FlowKey) bool { return q.byKey[k] != nil }

// HasOnTime reports whether an entry can still meet its target at now.
func (q *Queue) HasOnTime(now time.Time) bool {
	for _, e := range q.entries {
		if !e.isLate(now) {
			return true
		}
	}
	return false
}

// Stats returns the counts since the queue was made.
func (q *Queue) Stats() Stats { return q.stats }

// Add adds e at now, unless it is refused. By its permits, the
// instance may have the given number of requests in progress.
func (q *Queue) Add(e Entry, permits int, now time.Time) Verdict {
	q.permits = permits
	q.class(e.Priority).recordArrival(e.Work, now)
	switch {
	case !q.initialized && permits > 0:
		q.initialized, q.lateLimit = true, initialLatePerPermit*permits
	case q.lateLimit == 0 && now.Sub(q.decreasedAt) >= lateRetryPeriod:
		q.lateLimit = 1
	}
	v := q.judge(&e, permits, now)
	if v != Queued {
		q.exceededAt = now
	}
	switch v {
	case Refused:
		q.stats.Refused++
		return v
	case Queued:
		q.stats.Queued++
	case QueuedLate:
		q.stats.QueuedLate++
		e.Deadline = now.Add(-1) // yields to entries that can meet their target
	}
	if q.byKey == nil {
		q.byKey = make(map[carawaycart.FlowKey]*waiting)
	}
	w := &waiting{Entry: e, expectedOnTime: v == Queued}
	q.entries = append(q.entries, w)
	q.byKey[e.Key] = w
	return v
}

// judge returns the verdict on e at now.
func (q *Queue) judge(e *Entry, permits int, now time.Time) Verdict {
	if permits <= 0 || !now.Before(e.Expires) {
		return Refused
	}
	remaining := q.remainingPermits(permits, e.Priority, now)
	if remaining < minPermitShare*float64(permits) {
		return Refused
	}
	var ahead time.Duration
	late := 0
	for _, other := range q.entries {
		switch {
		case other.isLate(now):
			late++
		case other.Priority <= e.Priority:
			ahead += other.Work
		}
	}
	if wait := time.Duration(float64(ahead) / remaining); wait <= q.maxWait(e, now) && !now.Add(wait).After(e.Deadline) {
		return Queued
	}
	if late < min(q.lateLimit, maxLatePerPermit*permits) {
		return QueuedLate
	}
	return Refused
}

// maxWait returns the longest expected wait with which e is queued on time. For requests that
// are more urgent than all others, only the deadline limits it, since the others make room.
func (q *Queue) maxWait(e *Entry, now time.Time) time.Duration {
	if q.isMostUrgent(e.Priority, now) {
		return e.Deadline.Sub(now)
	}
	return time.Duration(q.class(e.Priority).trust * float64(e.MaxWait))
}

// Next removes and returns the entry that is to be dispatched at now. It returns false if there
// is none. While requests are refused, a late entry is only dispatched if idle, which means that
// request slots are free.
func (q *Queue) Next(idle bool, now time.Time) (Entry, bool) {
	best := -1
	for i, e := range q.entries {
		if now.Before(e.Expires) && (best < 0 || e.precedes(&q.entries[best].Entry, now)) {
			best = i
		}
	}
	if best < 0 || q.entries[best].isLate(now) && !idle && now.Sub(q.exceededAt) < lateServicePause {
		return Entry{}, false
	}
	e := q.entries[best].Entry
	q.removeAt(best)
	if !e.isLate(now) {
		c := q.class(e.Priority)
		c.trust = min(c.trust+trustIncrease, 1)
	} else {
		q.stats.ServedLate++
		q.lateLimit = min(q.lateLimit+1, max(maxLatePerPermit*q.permits, 1))
	}
	return e, true
}

// precedes reports whether e is to be dispatched before other at now, although other has
// arrived earlier. The more urgent goes first; of equal priority, an entry that can meet its
// target, by the least slack and then the least work; of late entries, the one whose caller
// gives up first.
func (e *Entry) precedes(other *Entry, now time.Time) bool {
	late, otherLate := e.isLate(now), other.isLate(now)
	switch {
	case e.Priority != other.Priority:
		return e.Priority < other.Priority
	case late != otherLate:
		return otherLate
	case late:
		return e.Expires.Before(other.Expires)
	}
	// The slack of both counts from now.
	return cmp.Or(e.Deadline.Add(-e.Work).Compare(other.Deadline.Add(-other.Work)), cmp.Compare(e.Work, other.Work)) < 0
}

// Expire removes and returns the entries whose callers have given up at now.
func (q *Queue) Expire(now time.Time) []Entry {
	var expired []Entry
	anyLate := false
	for i := 0; i < len(q.entries); {
		e := q.entries[i]
		if e.expectedOnTime && e.isLate(now) {
			e.expectedOnTime = false
			q.class(e.Priority).recordMissed(now)
		}
		if now.Before(e.Expires) {
			i++
			continue
		}
		expired = append(expired, e.Entry)
		anyLate = anyLate || e.isLate(now)
		q.removeAt(i)
	}
	q.stats.Expired += len(expired)
	if anyLate && now.Sub(q.decreasedAt) >= lateDecreasePeriod {
		q.decreasedAt = now
		q.lateLimit /= 2
	}
	return expired
}

// Remove removes the entry of the flow with key k, and reports whether there was one.
func (q *Queue) Remove(k carawaycart.FlowKey) bool {
	for i, e := range q.entries {
		if e.Key == k {
			q.removeAt(i)
			return true
		}
	}
	return false
}

// removeAt removes the entry with index i.
func (q *Queue) removeAt(i int) {
	delete(q.byKey, q.entries[i].Key)
	q.entries = append(q.entries[:i], q.entries[i+1:]...)
}
