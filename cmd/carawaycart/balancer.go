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
	"k8s.io/klog/v2"

	"carawaycart"
	"carawaycart/internal/balancer"
	"carawaycart/internal/edge"
	"carawaycart/internal/eventlog"
	"carawaycart/internal/settings"
)

// settingsPathVariable is the environment variable with the path of the settings
// file. The platform sets it when it starts an instance.
const settingsPathVariable = "CARAWAYCART_SETTINGS"

func newBalancerCommand(stderr io.Writer) *ffcli.Command {
	flags := newFlags("balancer")
	config := flags.String("config", os.Getenv(settingsPathVariable), "settings `file` of the instance (default $"+settingsPathVariable+")")
	verbosity := flags.Int("v", 0, "log verbosity; 1 also logs every applied change")
	return newCommand(stderr, "balancer", "carawaycart balancer -config FILE.ini",
		"Run one instance until SIGINT or SIGTERM, then shut it down gracefully.", flags,
		func(ctx context.Context, args []string) error {
			if *config == "" || len(args) > 0 {
				return usagef("balancer: want -config FILE.ini and no arguments")
			}
			return runBalancer(ctx, *config, *verbosity)
		})
}

func runBalancer(ctx context.Context, path string, verbosity int) error {
	logToStderr(verbosity)
	s, err := settings.Read(path)
	if err != nil {
		return err
	}
	if s.Format == settings.FormatToken {
		return runEdge(ctx, path, s)
	}
	sockets, err := balancer.Open(s)
	if err != nil {
		return err
	}
	b, err := balancer.New(s, sockets, carawaycart.NewSystemClock())
	if err != nil {
		sockets.Close()
		return err
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), balancer.StopTimeout)
	defer cancel()
	return b.Stop(stopCtx)
}

// runEdge runs an instance for packets that carry tokens until ctx is done. When the
// content of the settings file at path has changed, it applies the settings that can
// change in a running instance. The file is checked periodically and on SIGHUP.
func runEdge(ctx context.Context, path string, s settings.Settings) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	log := eventlog.New(s.ID, os.Stdout)
	defer log.Close()
	sockets, err := edge.OpenSockets(s)
	if err != nil {
		return err
	}
	e, err := edge.New(s, sockets, log)
	if err != nil {
		return err
	}
	watch := settings.NewWatcher(path, hangup, e.Reload)
	releaser := newMemoryReleaser(memoryReleasePeriod)
	<-ctx.Done()
	releaser.close()
	watch.Close()
	e.Stop()
	return nil
}

// logToStderr configures klog to write to standard error.
func logToStderr(verbosity int) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "true")
	_ = flags.Set("v", fmt.Sprint(verbosity))
}

// redirectLogs redirects klog to the file at path, or discards its output if path is
// empty. The returned function flushes and closes the file.
func redirectLogs(path string) (func(), error) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("logtostderr", "false")
	_ = flags.Set("alsologtostderr", "false")
	_ = flags.Set("stderrthreshold", "FATAL")
	if path == "" {
		klog.SetOutput(io.Discard)
		return func() {}, nil
	}
	_ = flags.Set("v", "1")
	file, err := os.Create(path)
	if err != nil {
		return nil, errors.Annotate(err, "create log file")
	}
	klog.SetOutput(file)
	return func() {
		klog.Flush()
		_ = file.Close()
	}, nil
}
