package directory

import (
	"maps"
	"slices"
	"time"

	"carawaycart"
	"carawaycart/internal/rendezvous"
)

const (
	// readPeriod is the time between reads by the fleet. Changes must take effect
	// within 3 s.
	readPeriod = 600 * time.Millisecond

	// zoneDelayStep is the time by which the instances of a zone delay their reads
	// after those of the zone before it in sorted order. A read takes up to 120 ms on
	// a 10 Mbit/s link.
	zoneDelayStep = 150 * time.Millisecond

	// rankDelayStep is the time by which an instance delays its reads after the
	// instance of the same zone with the next higher rendezvous hash.
	rankDelayStep = 200 * time.Millisecond

	// lateRankDelayStep replaces rankDelayStep beyond maxRankSteps, where the order
	// matters only if all instances before have failed.
	lateRankDelayStep = 12 * time.Millisecond

	maxZoneSteps     = 4  // limit of the zone delay, in steps
	maxRankSteps     = 4  // limit of the rank delay, in steps of rankDelayStep
	maxLateRankSteps = 40 // limit of the further rank delay, in steps of lateRankDelayStep

	// failedReadDelay is the time after a failed read before the next instance tries. It
	// is multiplied by the number of failures since the last read, up to
	// maxFailedReadFactor: if the store turns some instances away, one that it serves
	// comes soon; if it is down, calls are few.
	failedReadDelay     = 50 * time.Millisecond
	maxFailedReadFactor = 3

	// OverdueRead is the time after which a read without the beginning of an answer counts
	// as failed for the other instances. The store answers within 4 ms, or 344 ms when it
	// is slow. How long the rest of a large answer takes on a narrow link says nothing of
	// the store: others would read too, and fill the links.
	OverdueRead = 500 * time.Millisecond

	// RetryPeriod is the time for which an instance waits after its own read has failed.
	// The time doubles with each further failure, up to maxRetryPeriod.
	RetryPeriod       = 400 * time.Millisecond
	maxRetryPeriod    = 2 * time.Second
	maxRetryDoublings = 6 // prevents an overflow before maxRetryPeriod applies
)

// ReadState is what an instance knows when it decides when to read the store.
type ReadState struct {
	Self       carawaycart.InstanceID
	Zone       carawaycart.ZoneID
	Instances  []carawaycart.Registration // instances listed in the store
	Listed     bool                       // whether Self counts as listed even if it is not in Instances
	LastReadAt time.Time                  // start of the last known read by any instance
	Failures   FailedReads                // failed reads by any instance
	RetryAt    time.Time                  // when Self may read again after a failed read of its own
}

// FailedReads holds the failed reads of a fleet that an instance knows of. The zero value
// holds none.
type FailedReads struct {
	byInstance map[carawaycart.InstanceID]time.Time // last failed read of each instance
	last       time.Time                            // last failed read of any instance
	sinceRead  int                                  // number of failures since RecordRead
}

// RecordFailure records that a read of the instance id failed at when.
func (f *FailedReads) RecordFailure(id carawaycart.InstanceID, when time.Time) {
	if f.byInstance == nil {
		f.byInstance = make(map[carawaycart.InstanceID]time.Time)
	}
	for old, at := range f.byInstance {
		if when.Sub(at) > maxRetryPeriod {
			delete(f.byInstance, old)
		}
	}
	f.byInstance[id] = when
	f.last = later(f.last, when)
	f.sinceRead++
}

// RecordRead records that an instance has read the store. The instances whose reads
// failed before may still be turned away.
func (f *FailedReads) RecordRead() { f.sinceRead = 0 }

// Clone returns a copy of f.
func (f *FailedReads) Clone() FailedReads {
	c := *f
	c.byInstance = maps.Clone(f.byInstance)
	return c
}

// isFailing reports whether the last read of the instance id failed so shortly before
// now that it waits before it tries again.
func (f *FailedReads) isFailing(id carawaycart.InstanceID, now time.Time) bool {
	at, ok := f.byInstance[id]
	return ok && now.Sub(at) < maxRetryPeriod
}

// NextRead returns when the instance reads the store, as decided at now, unless it learns
// of another read before. One instance after another finds the fleet's last read too
// old, so that one read at a time serves the whole fleet, or each part of a partitioned
// fleet. A failed read of one instance is an attempt of the fleet, after which the order
// starts again: while the store is down, the number of calls does not grow with the
// number of instances.
func NextRead(s *ReadState, now time.Time) time.Time {
	delay := readDelay(s, now)
	next := s.LastReadAt.Add(readPeriod + delay)
	if n := s.Failures.sinceRead; n > 0 {
		pause := time.Duration(min(n, maxFailedReadFactor)) * failedReadDelay
		next = later(next, s.Failures.last.Add(pause+delay))
	}
	return later(next, s.RetryAt)
}

// Backoff returns the delay after the given number of consecutive failures. It is zero
// without failures, initial after one, and doubles with each further one, up to
// maxRetryPeriod.
func Backoff(initial time.Duration, failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	return min(initial<<min(failures-1, maxRetryDoublings), maxRetryPeriod)
}

// readDelay returns how much longer than readPeriod the instance waits for others to
// read. The delay grows with the position of the zone in sorted order, and with the
// instance's rank in the zone. An instance that is not listed comes after the first ranks,
// because it cannot tell how many such instances there are.
func readDelay(s *ReadState, now time.Time) time.Duration {
	rank, listed := readRank(s, now)
	if !listed {
		ownScore := rendezvous.Score(rendezvous.NewName(string(s.Self)), rendezvous.NewKey(readerKey))
		rank = maxRankSteps + int(ownScore%maxLateRankSteps)
	}
	zones := []carawaycart.ZoneID{s.Zone}
	for _, i := range s.Instances {
		if !s.Failures.isFailing(i.ID, now) && !slices.Contains(zones, i.Zone) {
			zones = append(zones, i.Zone)
		}
	}
	slices.Sort(zones)
	return time.Duration(min(slices.Index(zones, s.Zone), maxZoneSteps))*zoneDelayStep +
		time.Duration(min(rank, maxRankSteps))*rankDelayStep +
		time.Duration(min(max(rank-maxRankSteps, 0), maxLateRankSteps))*lateRankDelayStep
}

// readerKey is the key of the rendezvous hash by which the instances of a zone are ranked.
const readerKey = "reader"

// readRank returns the instance's rank in its zone by rendezvous hash, where instances whose
// reads have just failed do not count, and whether it is listed.
func readRank(s *ReadState, now time.Time) (rank int, listed bool) {
	key := rendezvous.NewKey(readerKey)
	ownScore := rendezvous.Score(rendezvous.NewName(string(s.Self)), key)
	listed = s.Listed
	for _, i := range s.Instances {
		listed = listed || i.ID == s.Self
		if i.Zone == s.Zone && i.ID != s.Self && !s.Failures.isFailing(i.ID, now) &&
			rendezvous.Score(rendezvous.NewName(string(i.ID)), key) > ownScore {
			rank++
		}
	}
	return rank, listed
}

// Watches reports whether the instance watches the store at now although others read it: it
// is one of the first in the order of reads, of the first zone or the second. The fleet thus
// does not depend on a single instance, and each change answers few. It does not watch while
// reads fail, since a watch would fail too.
func Watches(s *ReadState, now time.Time) bool {
	_, listed := readRank(s, now)
	return listed && s.Failures.sinceRead == 0 && !s.Failures.isFailing(s.Self, now) && readDelay(s, now) <= zoneDelayStep
}
