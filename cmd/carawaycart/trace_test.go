package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// TestTraceSortsLinesOfSeveralLogsByTime guards against lines that are out of order,
// lines of another flow whose address begins with the same text, and lines that are
// missed because a prefix, as of a log collector, precedes their fields.
func TestTraceSortsLinesOfSeveralLogsByTime(t *testing.T) {
	dir := t.TempDir()
	one, two := filepath.Join(dir, "one.log"), filepath.Join(dir, "two.log")
	write := func(path, text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(one, "time=2026-01-01T00:00:02.000Z event=placed instance=a flow=100.64.0.1:10 endpoint=i-2\n"+
		"time=2026-01-01T00:00:01.000Z event=placed instance=a flow=100.64.0.1:100 endpoint=i-1\n")
	write(two, "  1.5 front-2 time=2026-01-01T00:00:01.500Z event=refused instance=b flow=100.64.0.1:10 cause=cold\n")
	var out bytes.Buffer
	if code := run(t.Context(), []string{"trace", "-flow", "100.64.0.1:10", one, two}, &out, &out); code != exitSuccess {
		t.Fatalf("got exit code %d: %s", code, &out)
	}
	want := "  1.5 front-2 time=2026-01-01T00:00:01.500Z event=refused instance=b flow=100.64.0.1:10 cause=cold\n" +
		"time=2026-01-01T00:00:02.000Z event=placed instance=a flow=100.64.0.1:10 endpoint=i-2\n"
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", &out, want)
	}
}

// TestTraceRequiresFiles guards against a trace without files that succeeds with
// empty output.
func TestTraceRequiresFiles(t *testing.T) {
	var out bytes.Buffer
	if code := run(t.Context(), []string{"trace", "-flow", "100.64.0.1:10"}, &out, &out); code != exitUsage {
		t.Errorf("got exit code %d, want %d", code, exitUsage)
	}
}
