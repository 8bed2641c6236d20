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
	site := flags.String("site", "froepapir", "customer whose sizes to use, froepapir or brunnhalder")
	seed := flags.Uint64("seed", 1, "seed of random choices")
	report := flags.String("report", "", "`file` to write the report to as JSON")
	log := flags.String("log", "", "`file` to write logs to")
	fabric := flags.String("fabric", "both", "packets to use: geneve, token (on an emulated platform) or both")
	feeds := flags.Int("feeds", 0, "flows of the main service (0: as many as by default)")
	return newCommand(stderr, "demo", "carawaycart demo [-fabric NAME] [-site NAME] [-seed N] [-report FILE]",
		"Run instances and stand-ins in one process through changes and failures.", flags,
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
			closeLogs, err := quietLogs(*log)
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

// runTokenDemo runs the demo of packets that carry tokens.
func runTokenDemo(ctx context.Context, stdout, progress io.Writer) error {
	o := demo.DefaultTokenOptions()
	o.Progress = progress
	summary, broken, err := demo.RunToken(ctx, o)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(stdout, "packets with tokens:", summary)
	for _, b := range broken {
		_, _ = fmt.Fprintln(stdout, "BROKEN PROMISE:", b)
	}
	if len(broken) > 0 {
		return errors.Errorf("%d promises were not held", len(broken))
	}
	_, _ = fmt.Fprintln(stdout, "all promises held")
	return nil
}

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
	breaches := r.Breaches()
	for _, b := range breaches {
		_, _ = fmt.Fprintf(stdout, "BROKEN PROMISE: %s (seen: %s)\n", b.Promise, b.Seen)
	}
	if len(breaches) > 0 {
		return errors.Errorf("%d promises were not held", len(breaches))
	}
	_, _ = fmt.Fprintln(stdout, "all promises held")
	return nil
}
