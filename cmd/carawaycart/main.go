// Command carawaycart runs and administers a layer-4 load balancer.
//
// The exit code is 0 on success, 1 on failure and 2 if the command line is invalid.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// usageError is the error of an invalid command line.
type usageError struct{ problem string }

// Error returns the problem with the command line.
func (e *usageError) Error() string { return e.problem }

func usagef(format string, args ...any) error { return &usageError{fmt.Sprintf(format, args...)} }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes the command line in args and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := newRoot(stdout, stderr)
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitSuccess
		}
		_, _ = fmt.Fprintln(stderr, "carawaycart:", err)
		return exitUsage
	}
	err := root.Run(ctx)
	var usage *usageError
	switch {
	case err == nil:
		return exitSuccess
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case errors.As(err, &usage):
		_, _ = fmt.Fprintln(stderr, "carawaycart:", err)
		return exitUsage
	}
	_, _ = fmt.Fprintln(stderr, "carawaycart:", err)
	return exitFailure
}

func newRoot(stdout, stderr io.Writer) *ffcli.Command {
	return newCommand(stderr, "carawaycart", "carawaycart SUBCOMMAND [flags] [arguments]",
		"A layer-4 load balancer. Exit codes: 0 success, 1 failure, 2 invalid command line.",
		nil, nil,
		newBalancerCommand(stderr),
		newCheckCommand(stdout, stderr),
		newDemoCommand(stdout, stderr),
		newStandinCommand(stdout, stderr),
		newProfileCommand(stdout, stderr),
		newServiceCommand(stdout, stderr),
		newEndpointCommand(stdout, stderr),
		newZoneCommand(stdout, stderr),
		newAuditCommand(stdout, stderr),
		newStatusCommand(stdout, stderr),
		newExplainCommand(stdout, stderr),
		newTraceCommand(stdout, stderr),
	)
}

// newCommand returns a command that runs exec, and prints its usage if exec returns
// flag.ErrHelp. A nil exec returns flag.ErrHelp, or a usage error for an unknown
// subcommand.
func newCommand(stderr io.Writer, name, usage, help string, flags *flag.FlagSet,
	exec func(context.Context, []string) error, subcommands ...*ffcli.Command,
) *ffcli.Command {
	if flags == nil {
		flags = newFlags(name)
	}
	flags.SetOutput(stderr)
	if exec == nil {
		exec = func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("%s: unknown subcommand %q", name, args[0])
			}
			return flag.ErrHelp
		}
	}
	c := &ffcli.Command{
		Name: name, ShortUsage: usage, ShortHelp: help, LongHelp: help, FlagSet: flags, Exec: exec, Subcommands: subcommands,
	}
	runExec := c.Exec
	c.Exec = func(ctx context.Context, args []string) error {
		err := runExec(ctx, args)
		if errors.Is(err, flag.ErrHelp) {
			_, _ = fmt.Fprintln(stderr, ffcli.DefaultUsageFunc(c))
		}
		return err
	}
	return c
}

func newFlags(name string) *flag.FlagSet { return flag.NewFlagSet(name, flag.ContinueOnError) }
