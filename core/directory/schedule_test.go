package directory_test

import (
	"fmt"
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/directory"
)

// registrations returns perZone registrations in each of the zones.
func registrations(perZone int, zones ...carawaycart.ZoneID) []carawaycart.Registration {
	var all []carawaycart.Registration
	for _, z := range zones {
		for n := range perZone {
			all = append(all, carawaycart.Registration{ID: carawaycart.InstanceID(fmt.Sprintf("%s-%d", z, n)), Zone: z})
		}
	}
	return all
}

// readDelay returns how much later than the first instance of a fleet the instance id
// reads the store.
func readDelay(id carawaycart.InstanceID, zone carawaycart.ZoneID, all []carawaycart.Registration, listed bool) time.Duration {
	const readPeriod = 600 * time.Millisecond
	return directory.NextRead(&directory.ReadState{Self: id, Zone: zone, Instances: all, Listed: listed, LastReadAt: start}, start).Sub(start) - readPeriod
}

// Guards against several instances of a fleet that read the store at the same time,
// and against a fleet of which none reads without delay.
func TestExactlyOneInstanceHasNoReadDelay(t *testing.T) {
	all := registrations(5, "a", "b")
	delays := make(map[time.Duration]int)
	for _, i := range all {
		delays[readDelay(i.ID, i.Zone, all, false)]++
	}
	if delays[0] != 1 {
		t.Errorf("got %d instances that read without delay, want 1: %v", delays[0], delays)
	}
}

// When a fleet starts for the first time, all instances but the seeds are still
// unlisted when the first read becomes too old. Guards against all of them reading
// the store at the same time.
func TestUnlistedInstancesReadLast(t *testing.T) {
	listed := registrations(1, "a", "b")
	maxListedDelay := time.Duration(0)
	for _, i := range listed {
		maxListedDelay = max(maxListedDelay, readDelay(i.ID, i.Zone, listed, false))
	}
	for _, i := range registrations(40, "a", "b", "c")[1:] {
		if i.ID == listed[1].ID {
			continue
		}
		if got := readDelay(i.ID, i.Zone, listed, false); got <= maxListedDelay {
			t.Errorf("%s: got delay %v, want more than %v, the maximum of the listed instances", i.ID, got, maxListedDelay)
		}
	}
	if got := readDelay("a-0", "a", nil, true); got != 0 {
		t.Errorf("got delay %v of an instance that has written its entry, want 0", got)
	}
	if got := readDelay("a-1", "a", nil, false); got == 0 {
		t.Error("got no delay of an unlisted instance, want a delay")
	}
}

// Load pattern: the store is down for 4.5 s, while it either answers 503 or nothing, so
// that a read fails after 4 ms or 1 s. Guards against all instances of a large fleet
// that try by themselves, and against a fleet that finds out late that the store is
// back.
func TestReadsWhileTheStoreIsDown(t *testing.T) {
	const (
		downFor, length = 4500 * time.Millisecond, 8 * time.Second
		latency         = 3 * time.Millisecond // of the news to peers
		maxCalls        = 80                   // 18 a second; without the news of failures 195 instances make over 400
		maxRegained     = 2500 * time.Millisecond
	)
	for _, zones := range [][]carawaycart.ZoneID{{"a", "b", "c", "d"}, {"a", "b", "c", "d", "e", "f"}} {
		for _, perZone := range []int{5, 33, 80} {
			for _, failsAfter := range []time.Duration{4 * time.Millisecond, time.Second} {
				calls, regained := simulateReads(registrations(perZone, zones...), downFor, length, failsAfter, latency)
				t.Logf("%d instances, a read fails after %v: %d calls, first read %v after the return", perZone*len(zones), failsAfter, calls, regained)
				if calls > maxCalls || regained > maxRegained {
					t.Errorf("%d instances, a read fails after %v: got %d calls while the store was down and the first read %v after its return, want at most %d and %v",
						perZone*len(zones), failsAfter, calls, regained, maxCalls, maxRegained)
				}
			}
		}
	}
}

// reader is an instance in simulateReads.
type reader struct {
	state    directory.ReadState
	nextRead time.Time
	failures int       // consecutive failed reads
	endsAt   time.Time // end of its read in progress; zero if there is none
}

// simulateReads returns the number of reads that begin while the store is down, from
// start for downFor, and the time from its return to the first read that succeeds.
func simulateReads(all []carawaycart.Registration, downFor, length, failsAfter, latency time.Duration) (calls int, regained time.Duration) {
	const step = time.Millisecond
	readers := make([]*reader, len(all))
	for n, i := range all {
		readers[n] = &reader{state: directory.ReadState{Self: i.ID, Zone: i.Zone, Instances: all, LastReadAt: start}}
		readers[n].nextRead = directory.NextRead(&readers[n].state, start)
	}
	up := start.Add(downFor)
	type notice struct {
		at   time.Time // when it reaches the peers
		from carawaycart.InstanceID
	}
	var notices []notice // in order
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		for len(notices) > 0 && !notices[0].at.After(now) {
			for _, r := range readers {
				if r.state.Self == notices[0].from {
					continue
				}
				r.state.Failures.RecordFailure(notices[0].from, now)
				r.nextRead = directory.NextRead(&r.state, now)
			}
			notices = notices[1:]
		}
		for _, r := range readers {
			switch {
			case !r.endsAt.IsZero() && !now.Before(r.endsAt):
				r.endsAt = time.Time{}
				r.failures++
				r.state.RetryAt = now.Add(directory.Backoff(directory.RetryPeriod, r.failures))
				r.state.Failures.RecordFailure(r.state.Self, now)
				r.nextRead = directory.NextRead(&r.state, now)
			case r.endsAt.IsZero() && !now.Before(r.nextRead) && !now.Before(up):
				return calls, now.Sub(up)
			case r.endsAt.IsZero() && !now.Before(r.nextRead):
				calls++
				r.endsAt = now.Add(failsAfter)
				notices = append(notices, notice{now.Add(min(failsAfter, directory.OverdueRead) + latency), r.state.Self})
			}
		}
	}
	return calls, length - downFor
}

// Load pattern: the store turns the instances that come first away and serves the
// others. Guards against a view that gets old because failures delay the reads of those
// that would succeed: changes must take effect within 3 s.
func TestReadsWhileTheStoreTurnsInstancesAway(t *testing.T) {
	all := registrations(33, "a", "b", "c", "d", "e", "f")
	const turnedAway, bound = 6, 1500 * time.Millisecond
	var failures directory.FailedReads
	refused := make(map[carawaycart.InstanceID]bool)
	for now := start; ; {
		var next *carawaycart.Registration
		var nextAt time.Time
		for i := range all {
			if refused[all[i].ID] {
				continue
			}
			s := directory.ReadState{Self: all[i].ID, Zone: all[i].Zone, Instances: all, LastReadAt: start, Failures: failures}
			if at := directory.NextRead(&s, now); next == nil || at.Before(nextAt) {
				next, nextAt = &all[i], at
			}
		}
		if len(refused) == turnedAway {
			if age := nextAt.Sub(start); age > bound {
				t.Errorf("got a read %v after the last one when the first %d instances were turned away, want one within %v", age, turnedAway, bound)
			}
			return
		}
		now = nextAt.Add(4 * time.Millisecond)
		refused[next.ID] = true
		failures.RecordFailure(next.ID, now)
	}
}

// Guards against a fleet in which a single instance watches the store, or many do, each of
// which every change answers.
func TestTwoInstancesWatch(t *testing.T) {
	all := registrations(20, "a", "b", "c")
	var failures directory.FailedReads
	for range 3 {
		watching := make(map[carawaycart.ZoneID]carawaycart.InstanceID)
		count := 0
		for _, i := range all {
			if directory.Watches(&directory.ReadState{Self: i.ID, Zone: i.Zone, Instances: all, Failures: failures}, start) {
				watching[i.Zone] = i.ID
				count++
			}
		}
		if count != 2 || watching["a"] == "" || watching["b"] == "" {
			t.Fatalf("got %d instances that watch, %v, want one of each of the zones a and b", count, watching)
		}
		failures.RecordFailure(watching["a"], start)
		if directory.Watches(&directory.ReadState{Self: watching["b"], Zone: "b", Instances: all, Failures: failures}, start) {
			t.Fatal("got an instance that watches while the last read has failed")
		}
		failures.RecordRead() // by another instance
	}
	if directory.Watches(&directory.ReadState{Self: "new", Zone: "a", Instances: all}, start) {
		t.Error("got an instance that watches though it is not listed")
	}
}
