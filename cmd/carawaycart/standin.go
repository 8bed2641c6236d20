package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"carawaycart/internal/demo"
	"carawaycart/internal/standin"
)

func newStandinCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("standin")
	site := flags.String("site", "froepapir", "customer site whose sizes are used, froepapir or brunnhalder")
	dir := flags.String("dir", ".", "`directory` to write the settings files of the instances to")
	instances := flags.Int("instances", 3, "number of settings files to write")
	log := flags.String("log", "", "`file` to write logs to, including each broken flow")
	port := flags.Int("port", 21000, "first port of the instances")
	return newCommand(stderr, "standin", "carawaycart standin [-site NAME] [-dir DIR] [-instances N]",
		"Run only the simulated environment, for instances that are started separately.", flags,
		func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return usagef("standin: want no arguments")
			}
			s, err := standin.SiteByName(*site)
			if err != nil {
				return usagef("standin: %v", err)
			}
			closeLogs, err := redirectLogs(*log)
			if err != nil {
				return err
			}
			defer closeLogs()
			return runEnvironment(ctx, s, *dir, *instances, *port, stdout)
		})
}

// runEnvironment runs the emulated environment until ctx is done and then prints a
// report. It writes a settings file to dir for each instance, and prints the commands
// that start the instances.
func runEnvironment(ctx context.Context, site standin.Site, dir string, instances, port int, stdout io.Writer) error {
	environment, err := demo.NewEnvironment(ctx, site, demo.ExternalInstances(site, instances, port))
	if err != nil {
		return err
	}
	defer environment.Close()
	for _, i := range environment.Instances() {
		path := filepath.Join(dir, string(i.ID)+".ini")
		if err := os.WriteFile(path, []byte(environment.Settings(i)), 0o644); err != nil {
			return errors.Annotate(err, "write settings file")
		}
		_, _ = fmt.Fprintf(stdout, "carawaycart balancer -config %s\n", path)
	}
	_, _ = fmt.Fprintf(stdout, "store: %s\ninterrupt to stop and print a report\n", environment.StoreURL())
	environment.Run(ctx)
	return environment.Report(stdout)
}
