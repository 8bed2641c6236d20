package main

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"carawaycart/platform/standin"
)

// TestDryRunChangesNothing guards against a dry run that writes to the store, or
// whose result differs from that of the same command without -dry-run.
func TestDryRunChangesNothing(t *testing.T) {
	s, err := standin.NewSite(1, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	for _, test := range []struct {
		command string
		code    int
		want    string
	}{
		{"zone add -dry-run a", exitSuccess, "would be accepted as revision 1: zone a\nbefore: none\nafter:  {"},
		{"zone list", exitSuccess, "ZONE  OUT\n"},
		{"zone out -dry-run a", exitFailure, "zone a not found"},
		{"zone add a", exitSuccess, "accepted as revision 1: zone a"},
		{"zone out -dry-run a", exitSuccess, "would be accepted as revision 2: zone a\nbefore: {"},
		{"zone list", exitSuccess, "a     false"},
		{"service assign -dry-run desk timid", exitFailure, "service desk not found"},
	} {
		words := strings.Fields(test.command)
		args := slices.Concat(words[:2], []string{"-fabric", "token", "-store", s.Store.URL(), "-operator", "anna"}, words[2:])
		var out bytes.Buffer
		code := run(t.Context(), args, &out, &out)
		if code != test.code || !strings.Contains(out.String(), test.want) {
			t.Errorf("%s: got exit code %d, %q, want %d, %q", test.command, code, &out, test.code, test.want)
		}
	}
}
