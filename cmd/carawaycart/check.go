package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"carawaycart/core/routecheck"
	"carawaycart/internal/settings"
	"carawaycart/platform"
)

// routingFiles holds the flags of the check of a routing configuration.
type routingFiles struct {
	candidate string
	inForce   string // empty if no version is to be compared
	json      bool   // whether the findings are written as JSON
}

func newCheckCommand(stdout, stderr io.Writer) *ffcli.Command {
	var r routingFiles
	flags := newFlags("check")
	flags.StringVar(&r.candidate, "routing", "", "`file` with a routing configuration to check, the value of the store key op/config")
	flags.StringVar(&r.inForce, "inforce", "", "`file` with the routing configuration in force, to compare with that of -routing")
	flags.BoolVar(&r.json, "json", false, "write the findings of -routing as JSON")
	return newCommand(stderr, "check", "carawaycart check FILE.ini... | -routing FILE [-inforce FILE] [-json]",
		"Check settings files, or a routing configuration, and report every fault.", flags,
		func(_ context.Context, args []string) error {
			switch {
			case r.candidate != "" && len(args) > 0:
				return usagef("check: want settings files or -routing FILE, not both")
			case r.candidate != "":
				return checkRouting(&r, stdout)
			case r.inForce != "" || r.json:
				return usagef("check: -inforce and -json need -routing FILE")
			case len(args) == 0:
				return usagef("check: want one or more settings files, or -routing FILE")
			}
			return check(args, stdout)
		})
}

func check(files []string, stdout io.Writer) error {
	faulty := 0
	for _, f := range files {
		if _, err := settings.Read(f); err != nil {
			faulty++
			_, _ = fmt.Fprintln(stdout, err)
			continue
		}
		_, _ = fmt.Fprintf(stdout, "%s: good\n", f)
	}
	if faulty > 0 {
		return errors.Errorf("%d of %d files have faults", faulty, len(files))
	}
	return nil
}

// checkRouting writes the findings about the routing configuration in r.candidate to stdout.
// It returns an error if there are any.
func checkRouting(r *routingFiles, stdout io.Writer) error {
	var in routecheck.Input
	value, err := os.ReadFile(r.candidate)
	if err != nil {
		return errors.Annotate(err, "read routing configuration")
	}
	in.Config, in.Faults, in.Refusal = platform.DecodeConfig(value)
	if r.inForce != "" {
		if value, err = os.ReadFile(r.inForce); err != nil {
			return errors.Annotate(err, "read routing configuration in force")
		}
		in.InForce, _, in.InForceRefusal = platform.DecodeConfig(value)
	}
	found := routecheck.Check(&in)
	write := writeFindings
	if r.json {
		write = writeFindingsJSON
	}
	if err := write(stdout, r.candidate, found); err != nil {
		return errors.Annotate(err, "write findings")
	}
	if len(found) > 0 {
		return errors.Errorf("%s: %s", r.candidate, routecheck.Summary(found))
	}
	return nil
}

// writeFindings writes one line per finding, or a line that says that file has none.
func writeFindings(w io.Writer, file string, found []routecheck.Finding) error {
	if len(found) == 0 {
		_, err := fmt.Fprintf(w, "%s: %s\n", file, routecheck.Summary(nil))
		return err
	}
	for _, f := range found {
		if _, err := fmt.Fprintf(w, "%s: %s: %s\n", f.Severity, f.Object, f.Message); err != nil {
			return err
		}
	}
	return nil
}

// writeFindingsJSON writes an object with the file and an array of findings, which is empty
// if there are none.
func writeFindingsJSON(w io.Writer, file string, found []routecheck.Finding) error {
	report := struct {
		File     string               `json:"file"`
		Findings []routecheck.Finding `json:"findings"`
	}{file, append([]routecheck.Finding{}, found...)}
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(report)
}
