package main

import (
	"context"
	"fmt"
	"io"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"carawaycart/internal/demo"
	"carawaycart/internal/standin"
)

func newDemoCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("demo")
	site := flags.String("site", "froepapir", "customer site whose sizes are used, froepapir or brunnhalder")
	seed := flags.Uint64("seed", 1, "seed of the random generator")
	report := flags.String("report", "", "`file` to write the report to as JSON")
	log := flags.String("log", "", "`file` to write logs to")
	fabric := flags.String("fabric", "both", "packet format to use: geneve, token (on an emulated platform) or both")
	feeds := flags.Int("feeds", 0, "number of flows of the main service; 0 selects the default")
	return newCommand(stderr, "demo", "carawaycart demo [-fabric NAME] [-site NAME] [-seed N] [-report FILE]",
		"Run instances and simulated endpoints in one process and subject them to changes and failures.", flags,
		func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("demo: want no arguments")
			}
			s, err := standin.SiteByName(*site)
			if err != nil {
				return usagef("demo: %v", err)
			}
			options := demo.DefaultOptions(s)
			options.Seed = *seed
			options.Progress = stderr
			if *feeds > 0 {
				options.Feeds = *feeds
			}
			closeLogs, err := redirectLogs(*log)
			if err != nil {
				return err
			}
			defer closeLogs()
			switch *fabric {
			case "geneve":
				return runDemo(ctx, options, *report, stdout)
			case "token":
				return runTokenDemo(ctx, stdout, stderr)
			case "both":
				if err := runDemo(ctx, options, *report, stdout); err != nil {
					return err
				}
				return runTokenDemo(ctx, stdout, stderr)
			}
			return usagef("demo: fabric %q (want geneve, token or both)", *fabric)
		})
}

// runTokenDemo runs the demo with packets that carry tokens. It returns an error if a
// guarantee, which the output calls a promise, is violated.
func runTokenDemo(ctx context.Context, stdout, progress io.Writer) error {
	o := demo.DefaultTokenOptions()
	o.Progress = progress
	summary, violations, err := demo.RunToken(ctx, o)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(stdout, "packets with tokens:", summary)
	for _, v := range violations {
		_, _ = fmt.Fprintln(stdout, "BROKEN PROMISE:", v)
	}
	if len(violations) > 0 {
		return errors.Errorf("%d promises were not held", len(violations))
	}
	_, _ = fmt.Fprintln(stdout, "all promises held")
	return nil
}

// runDemo runs the demo with Geneve packets. It writes the report to stdout and, if
// path is not empty, as JSON to the file at path. It returns an error if a guarantee
// is violated.
func runDemo(ctx context.Context, o demo.Options, path string, stdout io.Writer) error {
	r, err := demo.Run(ctx, o)
	if err != nil {
		return err
	}
	if err := r.Write(stdout); err != nil {
		return err
	}
	if path != "" {
		if err := r.WriteFile(path); err != nil {
			return err
		}
	}
	violations := r.Violations()
	for _, v := range violations {
		_, _ = fmt.Fprintf(stdout, "BROKEN PROMISE: %s (seen: %s)\n", v.Guarantee, v.Observed)
	}
	if len(violations) > 0 {
		return errors.Errorf("%d promises were not held", len(violations))
	}
	_, _ = fmt.Fprintln(stdout, "all promises held")
	return nil
}
