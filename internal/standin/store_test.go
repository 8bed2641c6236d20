package standin_test

import (
	"testing"
	"time"

	"github.com/juju/errors"

	"carawaycart/internal/standin"
	"carawaycart/io/platform"
)

// Guards against tests of restored stores that pass because the emulated one loses less
// than the platform's.
func TestRestoreLosesWhatWasWrittenSince(t *testing.T) {
	emulated, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer emulated.Close()
	store := platform.NewStore(emulated.URL(), nil)
	put := func(key, value string) {
		t.Helper()
		if swapped, err := store.CompareAndSwap(t.Context(), key, []byte(value), 0); err != nil || !swapped {
			t.Fatalf("write %s: got %t, %v", key, swapped, err)
		}
	}
	put("a", "1")
	c := emulated.Copy()
	put("b", "1")
	lost, err := store.Get(t.Context(), "b")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := store.Wait(t.Context(), "b", lost.Index)
		ended <- err
	}()
	time.Sleep(100 * time.Millisecond) // the read blocks by then
	emulated.Restore(c)
	select {
	case err := <-ended:
		if err == nil || errors.Is(err, errors.NotFound) {
			t.Errorf("got %v from the read that blocked, want a failure", err)
		}
	case <-time.After(2 * time.Second):
		t.Error("the read blocks on after the restore")
	}
	if _, err := store.Get(t.Context(), "b"); !errors.Is(err, errors.NotFound) {
		t.Errorf("got %v for what was written after the copy, want none", err)
	}
	put("b", "2")
	if e, err := store.Get(t.Context(), "b"); err != nil || e.Index != lost.Index {
		t.Errorf("got index %d, %v, want %d again", e.Index, err, lost.Index)
	}
	emulated.Restore(c)
	if _, err := store.Get(t.Context(), "b"); !errors.Is(err, errors.NotFound) {
		t.Errorf("got %v after a second restore, want the copy as it was", err)
	}
}
