package main

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/user"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"carawaycart"
	"carawaycart/core/config"
	"carawaycart/internal/admin"
	"carawaycart/internal/settings"
	"carawaycart/io/platform"
	tokenplatform "carawaycart/platform"
)

// commandTimeout is the timeout of an operator's command.
const commandTimeout = 15 * time.Second

// storeFlags holds the flags of commands that use the platform's store.
type storeFlags struct {
	url      string
	fabric   string
	operator string
	output   string
	dryRun   bool
}

func (f *storeFlags) register(flags *flag.FlagSet) {
	flags.StringVar(&f.url, "store", os.Getenv("CARAWAYCART_STORE"), "`URL` of the platform's store (default $CARAWAYCART_STORE)")
	flags.StringVar(&f.fabric, "fabric", cmp.Or(os.Getenv("CARAWAYCART_FABRIC"), string(settings.FormatGeneve)),
		"`format` of the packets, geneve or token: token selects the store of the platform whose packets carry tokens (default $CARAWAYCART_FABRIC)")
	flags.StringVar(&f.operator, "operator", defaultOperator(), "`name` of the operator in the audit trail")
	flags.StringVar(&f.output, "output", "table", "`format` of the output, table or json")
	flags.BoolVar(&f.dryRun, "dry-run", false, "check a change against the latest configuration and show it without applying it")
}

func defaultOperator() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return ""
}

// session holds the change log and the output options of an operator's command.
type session struct {
	log    *platform.ChangeLog
	admin  *admin.Admin
	stdout io.Writer
	json   bool
	dryRun bool
}

func (f *storeFlags) session(stdout io.Writer) (*session, error) {
	switch {
	case f.url == "":
		return nil, usagef("want -store URL or $CARAWAYCART_STORE")
	case f.operator == "":
		return nil, usagef("want -operator NAME")
	case f.output != "table" && f.output != "json":
		return nil, usagef("-output %q (want table or json)", f.output)
	}
	clock := carawaycart.NewSystemClock()
	base := strings.TrimSuffix(f.url, "/")
	var store carawaycart.Store
	switch settings.Format(f.fabric) {
	case settings.FormatGeneve:
		store = platform.NewStore(base, nil)
	case settings.FormatToken:
		store = tokenplatform.NewStore(base, nil)
	default:
		return nil, usagef("-fabric %q (want geneve or token)", f.fabric)
	}
	log := platform.NewChangeLog(store, clock)
	editor := admin.NewAdmin(log, carawaycart.OperatorName(f.operator), clock)
	if f.dryRun {
		editor = editor.DryRun()
	}
	return &session{log: log, admin: editor, stdout: stdout, json: f.output == "json", dryRun: f.dryRun}, nil
}

// storeAction is the implementation of a command, given its arguments.
type storeAction func(context.Context, *session, []string) error

// newStoreCommand returns a command that opens a session and calls runAction. The
// command requires exactly argCount arguments. Each function in register adds flags
// to the command.
func newStoreCommand(stdout, stderr io.Writer, name, usage, help string, argCount int, runAction storeAction, register ...func(*flag.FlagSet)) *ffcli.Command {
	flags := newFlags(name)
	var f storeFlags
	f.register(flags)
	for _, r := range register {
		r(flags)
	}
	return newCommand(stderr, name, usage, help, flags, func(ctx context.Context, args []string) error {
		if len(args) != argCount {
			return usagef("%s: %d arguments (usage: %s)", name, len(args), usage)
		}
		s, err := f.session(stdout)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		return runAction(ctx, s, args)
	})
}

// printChange prints the accepted change, or in a dry run the change that would be
// accepted. A non-nil err is returned annotated.
func (s *session) printChange(c carawaycart.Change, err error) error {
	if err != nil {
		return errors.Annotate(err, "nothing was accepted")
	}
	if s.json {
		return s.writeJSON(c)
	}
	if s.dryRun {
		_, err = fmt.Fprintf(s.stdout, "would be accepted as revision %d: %s %s\nbefore: %s\nafter:  %s\n",
			c.Revision, c.Kind, c.Name, cmp.Or(string(c.Before), "none"), cmp.Or(string(c.After), "none"))
		return err
	}
	_, err = fmt.Fprintf(s.stdout, "accepted as revision %d: %s %s (change %s)\n", c.Revision, c.Kind, c.Name, c.ID)
	return err
}

func (s *session) writeJSON(v any) error {
	e := json.NewEncoder(s.stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// list prints the values of m, sorted by key, as JSON or as a table with the given
// header.
func list[K ~string, V any](s *session, m map[K]V, header string, row func(V) []any) error {
	names := make([]K, 0, len(m))
	for k := range m {
		names = append(names, k)
	}
	slices.Sort(names)
	if s.json {
		values := make([]V, 0, len(m))
		for _, k := range names {
			values = append(values, m[k])
		}
		return s.writeJSON(values)
	}
	t := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, header)
	for _, k := range names {
		for i, cell := range row(m[k]) {
			if i > 0 {
				_, _ = fmt.Fprint(t, "\t")
			}
			_, _ = fmt.Fprint(t, cell)
		}
		_, _ = fmt.Fprintln(t)
	}
	return t.Flush()
}

// show prints the object with the given kind and name. The error is NotFound if it
// does not exist.
func show(ctx context.Context, s *session, kind carawaycart.ObjectKind, name string) error {
	c, err := s.log.Latest(ctx)
	if err != nil {
		return err
	}
	data, err := c.EncodedObject(kind, name)
	if err != nil {
		return err
	}
	if data == nil {
		return errors.NotFoundf("%s %s", kind, name)
	}
	return s.writeJSON(data)
}

// setFields applies "field=value" assignments to the JSON object with the given
// kind and name, or to an empty object if it does not exist, and stores the result.
// The field idField holds the name. The result is decoded into object, which must
// be a pointer to a zero object; an unknown field is an error.
func setFields(ctx context.Context, s *session, kind carawaycart.ObjectKind, name, idField string, assignments []string, object any) error {
	c, err := s.log.Latest(ctx)
	if err != nil {
		return err
	}
	current, err := c.EncodedObject(kind, name)
	if err != nil {
		return err
	}
	fields := make(map[string]json.RawMessage)
	if current != nil {
		if err := json.Unmarshal(current, &fields); err != nil {
			return errors.Annotatef(err, "decode the current %s %s", kind, name)
		}
	}
	fields[idField], _ = json.Marshal(name)
	for _, a := range assignments {
		field, value, ok := strings.Cut(a, "=")
		if !ok {
			return usagef("%q (want FIELD=VALUE)", a)
		}
		fields[field] = fieldValue(value)
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return errors.Annotatef(err, "encode %s %s", kind, name)
	}
	if err := config.DecodeStrict(data, object); err != nil {
		return errors.Annotatef(err, "%s %s", kind, name)
	}
	return s.printChange(s.admin.Put(ctx, kind, name, object))
}

// fieldValue encodes a value of the command line as JSON. A JSON number or null stays
// as it is; any other value becomes a string.
func fieldValue(v string) json.RawMessage {
	var number json.Number
	if err := json.Unmarshal([]byte(v), &number); err == nil && !strings.HasPrefix(v, `"`) {
		return json.RawMessage(v)
	}
	data, _ := json.Marshal(v)
	return data
}
