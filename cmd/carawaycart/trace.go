package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// maxLineBytes is the maximum length of a log line in bytes.
const maxLineBytes = 1 << 20

func newTraceCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("trace")
	flow := flags.String("flow", "", "caller's `IP:PORT`")
	endpoint := flags.String("endpoint", "", "`id` of an endpoint")
	return newCommand(stderr, "trace", "carawaycart trace [-flow IP:PORT] [-endpoint ID] FILE...",
		"Print the log lines about a flow or an endpoint from several instances in order of time.", flags,
		func(_ context.Context, args []string) error {
			if len(args) == 0 || *flow == "" && *endpoint == "" {
				return usagef("trace: want -flow or -endpoint, and log files")
			}
			var terms []string
			if *flow != "" {
				terms = append(terms, "flow="+*flow)
			}
			if *endpoint != "" {
				terms = append(terms, "endpoint="+*endpoint)
			}
			return trace(args, terms, stdout)
		})
}

// trace prints the lines of files that contain one of terms as a field, sorted by
// time. A term has the form name=value.
func trace(files, terms []string, stdout io.Writer) error {
	var lines []string
	for _, path := range files {
		matching, err := matchingLines(path, terms)
		if err != nil {
			return err
		}
		lines = append(lines, matching...)
	}
	slices.SortStableFunc(lines, func(a, b string) int { return cmp.Compare(logTime(a), logTime(b)) })
	for _, line := range lines {
		if _, err := fmt.Fprintln(stdout, line); err != nil {
			return errors.Annotate(err, "write trace")
		}
	}
	return nil
}

// matchingLines returns the lines of the file at path that contain one of terms as a
// field.
func matchingLines(path string, terms []string) ([]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Annotate(err, "open log file")
	}
	defer func() { _ = file.Close() }()
	var lines []string
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line := scanner.Text()
		fields := strings.Fields(line)
		if slices.ContainsFunc(terms, func(t string) bool { return slices.Contains(fields, t) }) {
			lines = append(lines, line)
		}
	}
	return lines, errors.Annotatef(scanner.Err(), "read %s", path)
}

// logTime returns the time field of a line, or "" if there is none. The times are in
// UTC and of a fixed width, so they compare correctly as text.
func logTime(line string) string {
	for _, f := range strings.Fields(line) {
		if t, ok := strings.CutPrefix(f, "time="); ok {
			return t
		}
	}
	return ""
}
