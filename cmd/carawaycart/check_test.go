package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestCheckRouting guards against a mistake in a routing configuration that is not found, and
// against a wrong exit code, for scripts that send a configuration only if the code is 0.
func TestCheckRouting(t *testing.T) {
	golden := goldie.New(t, goldie.WithFixtureDir("testdata/check"))
	for _, test := range []struct {
		golden string
		args   string
		code   int
		stderr string
	}{
		{"next", "-routing next.json", exitSuccess, ""},
		{"nextInForce", "-json -routing next.json -inforce inforce.json", exitSuccess, ""},
		{"faulty", "-routing faulty.json -inforce faulty.json", exitFailure, "faulty.json: 9 errors, 15 warnings\n"},
		{"changed", "-routing changed.json -inforce inforce.json", exitFailure, "changed.json: 1 warning, 14 differences\n"},
		{"older", "-json -routing faulty.json -inforce next.json", exitFailure, "faulty.json: 10 errors, 14 warnings, "},
		{"refused", "-routing refused.json -inforce inforce.json", exitFailure, "refused.json: 1 error\n"},
		{"refusedInForce", "-routing next.json -inforce refused.json", exitFailure, "next.json: 1 warning\n"},
		{"empty", "-json -routing empty.json", exitFailure, "empty.json: 1 error\n"},
	} {
		t.Run(test.golden, func(t *testing.T) {
			t.Chdir("testdata/check")
			var stdout, stderr bytes.Buffer
			code := run(t.Context(), append([]string{"check"}, strings.Fields(test.args)...), &stdout, &stderr)
			if code != test.code || (stderr.String() == "") != (test.stderr == "") || !strings.Contains(stderr.String(), test.stderr) {
				t.Errorf("got exit code %d, stderr %q, want %d, %q", code, &stderr, test.code, test.stderr)
			}
			t.Chdir("../..")
			golden.Assert(t, test.golden, stdout.Bytes())
		})
	}
}

// TestCheckUsage guards against a command line that checks less than it seems to, such as one
// with -inforce only, and against a check of settings files that has changed.
func TestCheckUsage(t *testing.T) {
	const settingsFile = "../../internal/settings/testdata/good.ini"
	for _, test := range []struct {
		args   string
		code   int
		output string
	}{
		{"", exitUsage, "want one or more settings files"},
		{"-inforce testdata/check/inforce.json", exitUsage, "need -routing"},
		{"-json " + settingsFile, exitUsage, "need -routing"},
		{"-routing testdata/check/next.json " + settingsFile, exitUsage, "not both"},
		{"-routing testdata/check/absent.json", exitFailure, "read routing configuration: open"},
		{"-routing testdata/check/next.json -inforce testdata/check/absent.json", exitFailure, "in force: open"},
		{settingsFile, exitSuccess, settingsFile + ": good\n"},
		{settingsFile + " ../../internal/settings/testdata/faulty.ini", exitFailure, "1 of 2 files have faults"},
	} {
		var out bytes.Buffer
		code := run(t.Context(), append([]string{"check"}, strings.Fields(test.args)...), &out, &out)
		if code != test.code || !strings.Contains(out.String(), test.output) {
			t.Errorf("%q: got exit code %d, %q, want %d, %q", test.args, code, &out, test.code, test.output)
		}
	}
}
