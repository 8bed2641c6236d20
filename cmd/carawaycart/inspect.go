package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"carawaycart"
	"carawaycart/io/operator"
)

// maxResponseBytes is the maximum size of a response of an instance in bytes.
const maxResponseBytes = 64 << 20

func newAuditCommand(stdout, stderr io.Writer) *ffcli.Command {
	var object, by string
	var from uint64
	register := func(flags *flag.FlagSet) {
		flags.StringVar(&object, "object", "", "only changes of this `KIND/NAME`")
		flags.StringVar(&by, "by", "", "only changes by this operator")
		flags.Uint64Var(&from, "from", 1, "only changes at or after this revision")
	}
	return newStoreCommand(stdout, stderr, "audit", "carawaycart audit [-object KIND/NAME] [-by OPERATOR] [-from REVISION]",
		"List the changes in the audit trail.", 0, func(ctx context.Context, s *session, _ []string) error {
			changes, err := s.log.Changes(ctx, carawaycart.Revision(from))
			if err != nil {
				return err
			}
			matching := []carawaycart.Change{}
			for _, c := range changes {
				name := string(c.Kind) + "/" + c.Name
				if (object == "" || object == name) && (by == "" || by == string(c.Operator)) {
					matching = append(matching, c)
				}
			}
			return writeChanges(s, matching)
		}, register)
}

func writeChanges(s *session, changes []carawaycart.Change) error {
	if s.json {
		return s.writeJSON(changes)
	}
	t := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "REVISION\tTIME\tOPERATOR\tOBJECT\tAFTER")
	for _, c := range changes {
		after := string(c.After)
		if after == "" {
			after = "deleted"
		}
		_, _ = fmt.Fprintf(t, "%d\t%s\t%s\t%s/%s\t%s\n", c.Revision, c.Time.Format(time.RFC3339), c.Operator, c.Kind, c.Name, after)
	}
	return t.Flush()
}

// queryInstance sends a GET request to the operator port of an instance and decodes
// the JSON response into answer.
func queryInstance(ctx context.Context, instance, path string, query url.Values, answer any) error {
	if instance == "" {
		return usagef("want -instance IP:PORT, the operator address of an instance")
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+instance+path+"?"+query.Encode(), nil)
	if err != nil {
		return usagef("-instance %q: %v", instance, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Annotatef(err, "query instance %s", instance)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Annotatef(err, "read the response of instance %s", instance)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("instance %s: %s", instance, strings.TrimSpace(string(data)))
	}
	return errors.Annotatef(json.Unmarshal(data, answer), "decode the response of instance %s", instance)
}

func newStatusCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("status")
	instance := flags.String("instance", "", "operator `address` of an instance")
	output := flags.String("output", "table", "`format` of the output, table or json")
	return newCommand(stderr, "status", "carawaycart status -instance IP:PORT", "Show the state of the fleet as known to one instance.", flags,
		func(ctx context.Context, _ []string) error {
			var s operator.Status
			if err := queryInstance(ctx, *instance, "/status", nil, &s); err != nil {
				return err
			}
			if *output == "json" {
				return (&session{stdout: stdout}).writeJSON(s)
			}
			return writeStatus(stdout, &s)
		})
}

func writeStatus(w io.Writer, s *operator.Status) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "instance %s in zone %s is %s at revision %d\n\n", s.Instance, s.Zone, s.State, s.Revision)
	_, _ = fmt.Fprintln(t, "INSTANCE\tZONE\tSTATE\tREVISION")
	for _, m := range s.Members {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%d\n", m.ID, m.Zone, m.State, m.Revision)
	}
	_, _ = fmt.Fprintln(t, "\nSERVICE\tPROFILE\tSLOTS\tDIRTY")
	for _, v := range s.Services {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%d\n", v.ID, v.Profile, v.Slots, v.DirtySlots)
	}
	_, _ = fmt.Fprintln(t, "\nENDPOINT\tSERVICE\tZONE\tSTATE\tMARK\tGUARDED\tKEEPER\tEVIDENCE")
	for _, e := range s.Endpoints {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%t\t%s\t%s\n", e.ID, e.Service, e.Zone, e.State, e.Mark, e.Guarded, e.Keeper, e.Evidence)
	}
	_, _ = fmt.Fprintf(t, "\n%d alarms\n", len(s.Alarms))
	for _, a := range s.Alarms {
		_, _ = fmt.Fprintln(t, a)
	}
	return t.Flush()
}

func newExplainCommand(stdout, stderr io.Writer) *ffcli.Command {
	return newCommand(stderr, "explain", "carawaycart explain flow|key", "Explain how a flow or a keyed request is routed.", nil, nil,
		newExplainFlowCommand(stdout, stderr), newExplainKeyCommand(stdout, stderr))
}

func newExplainFlowCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("flow")
	instance := flags.String("instance", "", "operator `address` of an instance")
	protocol := flags.String("protocol", "tcp", "tcp or udp")
	return newCommand(stderr, "flow", "carawaycart explain flow -instance IP:PORT CALLER SERVICE",
		"Explain how packets from address CALLER to address SERVICE are routed.", flags,
		func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return usagef("explain flow: want CALLER SERVICE, both IP:PORT")
			}
			if _, err := operator.ParseFlow(*protocol, args[0], args[1]); err != nil {
				return usagef("explain flow: %v", err)
			}
			var e operator.FlowExplanation
			query := url.Values{"protocol": {*protocol}, "caller": {args[0]}, "service": {args[1]}}
			if err := queryInstance(ctx, *instance, "/explain/flow", query, &e); err != nil {
				return err
			}
			return (&session{stdout: stdout}).writeJSON(e)
		})
}

func newExplainKeyCommand(stdout, stderr io.Writer) *ffcli.Command {
	flags := newFlags("key")
	instance := flags.String("instance", "", "operator `address` of an instance")
	return newCommand(stderr, "key", "carawaycart explain key -instance IP:PORT KEY",
		"Show the record of the request with an idempotency key.", flags,
		func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usagef("explain key: want KEY")
			}
			var e operator.KeyExplanation
			if err := queryInstance(ctx, *instance, "/explain/key", url.Values{"key": {args[0]}}, &e); err != nil {
				return err
			}
			return (&session{stdout: stdout}).writeJSON(e)
		})
}
