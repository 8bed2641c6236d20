package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"carawaycart"
	"carawaycart/io/platform"
)

// fakeStore is an in-memory Store with injectable faults.
type fakeStore struct {
	mu             sync.Mutex
	entries        map[string]carawaycart.StoreEntry
	index          carawaycart.StoreIndex
	down           bool   // every read by Get and every write returns an error
	loseNextAnswer bool   // the next write takes effect but returns an error
	failNextWrite  bool   // the next write has no effect and returns an error
	beforeWrite    func() // called once before the next write
}

func newFakeStore() *fakeStore {
	return &fakeStore{entries: make(map[string]carawaycart.StoreEntry)}
}

var errStoreDown = errors.New("store is down")

func (s *fakeStore) Get(_ context.Context, key string) (carawaycart.StoreEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return carawaycart.StoreEntry{}, errStoreDown
	}
	e, ok := s.entries[key]
	if !ok {
		return e, errors.NotFoundf("key %s", key)
	}
	return e, nil
}

func (s *fakeStore) List(_ context.Context, prefix string) ([]carawaycart.StoreEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []carawaycart.StoreEntry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) {
			found = append(found, e)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

// Wait does not block.
func (s *fakeStore) Wait(ctx context.Context, key string, _ carawaycart.StoreIndex) (carawaycart.StoreEntry, error) {
	return s.Get(ctx, key)
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, index carawaycart.StoreIndex) (bool, error) {
	if f := s.beforeWrite; f != nil {
		s.beforeWrite = nil
		f()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.failNextWrite {
		s.failNextWrite = false
		return false, errStoreDown
	}
	if s.entries[key].Index != index {
		return false, nil
	}
	s.index++
	s.entries[key] = carawaycart.StoreEntry{Key: key, Value: value, Index: s.index}
	if s.loseNextAnswer {
		s.loseNextAnswer = false
		return false, errors.New("answer lost")
	}
	return true, nil
}

type fixedClock struct{}

func (fixedClock) Now() time.Time { return time.Unix(1000, 0) }

// zoneEdit returns an Edit that creates or replaces zone name.
func zoneEdit(name string, out bool) platform.Edit {
	return platform.Edit{
		Operator: "op", Kind: carawaycart.KindZone, Name: name,
		Update: func(json.RawMessage) (json.RawMessage, error) {
			return json.Marshal(carawaycart.Zone{ID: carawaycart.ZoneID(name), Out: out})
		},
	}
}

// A write whose answer is lost must be reported as accepted, and a failed write
// as not accepted.
func TestAppendUnderFaults(t *testing.T) {
	ctx := context.Background()
	for _, test := range []struct {
		name     string
		prepare  func(*fakeStore)
		accepted bool
		entries  int // wanted in the log, including the one written before the fault
	}{
		{"no fault", func(*fakeStore) {}, true, 2},
		{"answer lost after the write took effect", func(s *fakeStore) { s.loseNextAnswer = true }, true, 2},
		{"write failed", func(s *fakeStore) { s.failNextWrite = true }, false, 1},
		{"store down", func(s *fakeStore) { s.down = true }, false, 1},
	} {
		store := newFakeStore()
		log := platform.NewChangeLog(store, fixedClock{})
		if _, err := log.Append(ctx, zoneEdit("a", false)); err != nil {
			t.Fatal(err)
		}
		test.prepare(store)
		change, err := log.Append(ctx, zoneEdit("a", true))
		store.down = false
		if (err == nil) != test.accepted {
			t.Errorf("%s: got %v, want accepted %t", test.name, err, test.accepted)
		}
		changes, _ := log.Changes(ctx, 1)
		if len(changes) != test.entries {
			t.Errorf("%s: got %d entries, want %d", test.name, len(changes), test.entries)
		}
		c, _ := log.Latest(ctx)
		if c.Zones["a"].Out != test.accepted {
			t.Errorf("%s: got zone out %t, want %t", test.name, c.Zones["a"].Out, test.accepted)
		}
		if test.accepted && change.Revision != 2 {
			t.Errorf("%s: got revision %d, want 2", test.name, change.Revision)
		}
	}
}

// Another operator's change that is written between read and write must cause a
// ConflictError if it changes the same object, and a retry otherwise.
func TestAppendConcurrent(t *testing.T) {
	ctx := context.Background()
	for _, test := range []struct {
		name     string
		winner   platform.Edit
		conflict bool
	}{
		{"same object", zoneEdit("a", false), true},
		{"other object", zoneEdit("b", false), false},
	} {
		store := newFakeStore()
		log := platform.NewChangeLog(store, fixedClock{})
		if _, err := log.Append(ctx, zoneEdit("a", false)); err != nil {
			t.Fatal(err)
		}
		store.beforeWrite = func() {
			if _, err := log.Append(ctx, test.winner); err != nil {
				t.Error(err)
			}
		}
		change, err := log.Append(ctx, zoneEdit("a", true))
		var conflict *platform.ConflictError
		if got := errors.As(err, &conflict); got != test.conflict {
			t.Errorf("%s: got %v, want conflict %t", test.name, err, test.conflict)
		}
		if conflict != nil && conflict.Winner.Revision != 2 {
			t.Errorf("%s: got winner at revision %d, want 2", test.name, conflict.Winner.Revision)
		}
		if !test.conflict && change.Revision != 3 {
			t.Errorf("%s: got revision %d, want 3", test.name, change.Revision)
		}
	}
}

// A log entry that is not valid JSON must occupy its revision without blocking
// later changes.
func TestCorruptEntryHasNoEffect(t *testing.T) {
	ctx := context.Background()
	store := newFakeStore()
	log := platform.NewChangeLog(store, fixedClock{})
	if _, err := log.Append(ctx, zoneEdit("a", false)); err != nil {
		t.Fatal(err)
	}
	store.entries["carawaycart/log/000000000002"] = carawaycart.StoreEntry{Key: "carawaycart/log/000000000002", Value: []byte("{"), Index: 9}
	change, err := log.Append(ctx, zoneEdit("a", true))
	if err != nil || change.Revision != 3 {
		t.Fatalf("got revision %d, %v; want 3", change.Revision, err)
	}
	if c, _ := log.Latest(ctx); c.Revision != 3 || !c.Zones["a"].Out {
		t.Errorf("got revision %d with zone out %t, want 3 with true", c.Revision, c.Zones["a"].Out)
	}
}

// Under lost answers, failed writes and concurrent appends, the log must contain
// every change reported as accepted exactly once, and no other change.
func TestAppendRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store := newFakeStore()
		log := platform.NewChangeLog(store, fixedClock{})
		accepted := make(map[carawaycart.ChangeID]bool)
		steps := rapid.IntRange(1, 100).Draw(t, "steps")
		for i := range steps {
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				store.loseNextAnswer = true
			case 1:
				store.failNextWrite = true
			case 2:
				store.beforeWrite = func() {
					if c, err := log.Append(ctx, zoneEdit("race", false)); err == nil {
						accepted[c.ID] = true
					}
				}
			}
			if c, err := log.Append(ctx, zoneEdit(fmt.Sprintf("z%d", i%3), i%2 == 0)); err == nil {
				accepted[c.ID] = true
			}
		}
		changes, err := log.Changes(ctx, 1)
		if err != nil {
			t.Fatal(err)
		}
		for i, c := range changes {
			if c.Revision != carawaycart.Revision(i+1) {
				t.Fatalf("entry %d has revision %d, want consecutive revisions from 1", i, c.Revision)
			}
			if !accepted[c.ID] {
				t.Fatalf("revision %d is in the log but was not reported as accepted", c.Revision)
			}
			delete(accepted, c.ID)
		}
		if len(accepted) > 0 {
			t.Fatalf("%d accepted changes are not in the log", len(accepted))
		}
	})
}

// Guards against changes that a restore of the store removes for good, and against a
// recovered log that instances with the lost changes take for the one they follow.
func TestRecoverRandomRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		store := newFakeStore()
		log := platform.NewChangeLog(store, fixedClock{})
		appendChanges := func(label string, least int) {
			for range rapid.IntRange(least, 4).Draw(t, label) {
				name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "zone")
				_, _ = log.Append(ctx, zoneEdit(name, rapid.Bool().Draw(t, "out"))) // fails if a concurrent change wins
			}
		}
		appendChanges("before the copy", 0)
		entries := maps.Clone(store.entries)
		appendChanges("lost", 1)
		before, err := log.Changes(ctx, 1)
		if err != nil {
			t.Fatal(err)
		}
		retained := before[rapid.IntRange(0, len(entries)).Draw(t, "first retained"):]
		store.entries = entries
		appendChanges("after the restore", 0)

		recoverLog := func() (appended int, err error) {
			// Some instances have not received the last changes.
			n := rapid.IntRange(1, len(retained)).Draw(t, "applied")
			recovery, err := log.Recover(ctx, retained[:n])
			return len(recovery.Appended), err
		}
		for range rapid.IntRange(0, 4).Draw(t, "attempts") {
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				store.loseNextAnswer = true
			case 1:
				store.failNextWrite = true
			case 2:
				store.beforeWrite = func() { appendChanges("during recovery", 0) }
			case 3:
				store.beforeWrite = func() { _, _ = recoverLog() }
			}
			_, _ = recoverLog()
		}
		store.loseNextAnswer, store.failNextWrite, store.beforeWrite = false, false, nil
		if _, err := log.Recover(ctx, retained); err != nil {
			t.Fatal(err)
		}
		if recovery, err := log.Recover(ctx, retained); err != nil || len(recovery.Appended) > 0 {
			t.Fatalf("got %d changes appended again, %v, want none", len(recovery.Appended), err)
		}
		after, err := log.Changes(ctx, 1)
		if err != nil {
			t.Fatal(err)
		}
		checkRecovered(t, before, after)
	})
}

// checkRecovered checks a log that held the changes before and then, after a restore and
// its recovery, holds those in after.
func checkRecovered(t *rapid.T, before, after []carawaycart.Change) {
	indexes := make(map[carawaycart.ChangeID]int)
	for i, c := range before {
		indexes[c.ID] = i
	}
	held, changed := make(map[carawaycart.ChangeID]bool), make(map[string]bool)
	forked := false
	for i, c := range after {
		if c.Revision != carawaycart.Revision(i+1) {
			t.Fatalf("entry %d has revision %d, want consecutive revisions from 1", i, c.Revision)
		}
		held[c.ID] = true
		old, ok := indexes[c.ID]
		if !ok {
			changed[c.Name] = true
		}
		if forked && ok && old == i {
			t.Fatalf("revision %d holds the lost change again, although other changes precede it", c.Revision)
		}
		if ok && changed[c.Name] {
			t.Fatalf("revision %d holds a lost change of zone %s after a later one", c.Revision, c.Name)
		}
		forked = forked || !ok || old != i
	}
	if forked && len(after) <= len(before) || len(after) < len(before) {
		t.Fatalf("the log ends at revision %d after %d, with other changes: %t", len(after), len(before), forked)
	}
	for _, c := range before {
		if !held[c.ID] && !changed[c.Name] {
			t.Fatalf("change %s of zone %s is not in the log, and no later one of the zone", c.ID, c.Name)
		}
	}
}

// Guards against a log with a gap, which readers take for its end.
func TestRecoverLeavesNoGap(t *testing.T) {
	ctx := context.Background()
	store := newFakeStore()
	log := platform.NewChangeLog(store, fixedClock{})
	for _, name := range []string{"a", "b", "c"} {
		if _, err := log.Append(ctx, zoneEdit(name, false)); err != nil {
			t.Fatal(err)
		}
	}
	changes, err := log.Changes(ctx, 1)
	if err != nil {
		t.Fatal(err)
	}
	clear(store.entries)
	if _, err := log.Recover(ctx, changes[1:]); !errors.Is(err, errors.NotFound) || len(store.entries) > 0 {
		t.Errorf("got %d entries, %v, want none, NotFound: the first change is not known", len(store.entries), err)
	}
	if _, err := log.Recover(ctx, nil); err != nil {
		t.Errorf("got %v for no changes, want none", err)
	}
}
