package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"

	"carawaycart/internal/edge"
	"carawaycart/internal/eventlog"
	"carawaycart/internal/settings"
	"carawaycart/platform/standin"
)

// TokenOptions choose what RunToken does.
type TokenOptions struct {
	Zones     int // availability zones
	Hosts     int // of each zone
	Instances int // of each zone
	Feeds     int // flows of each zone that stay open
	Orders    int // a second, of each zone
	Pause     time.Duration
	Progress  io.Writer
	Log       io.Writer // of all instances
}

// DefaultTokenOptions returns the options of the demo.
func DefaultTokenOptions() TokenOptions {
	return TokenOptions{
		Zones: 3, Hosts: 4, Instances: 3, Feeds: 8, Orders: 20, Pause: 1500 * time.Millisecond,
		Progress: io.Discard, Log: io.Discard,
	}
}

// tokenRun is the state of RunToken.
type tokenRun struct {
	*standin.Site
	options  TokenOptions
	machines []standin.Machine
	edges    []*edge.Edge // nil while an instance is down
	logs     []*eventlog.Log
}

// RunToken drives instances that serve packets with tokens, on an emulated
// platform, through planned changes and failures. It returns a summary of what
// hosts and callers saw, and the promises that were broken.
func RunToken(ctx context.Context, o TokenOptions) (summary string, broken []string, err error) {
	site, err := standin.NewSite(o.Zones, o.Hosts)
	if err != nil {
		return "", nil, err
	}
	r := &tokenRun{Site: site, options: o}
	defer r.close()
	for _, zone := range site.Zones {
		for n := range o.Instances {
			m, err := site.AddMachine(zone, n)
			if err != nil {
				return "", nil, err
			}
			r.machines = append(r.machines, m)
			r.edges = append(r.edges, nil)
			r.logs = append(r.logs, nil)
			if err := r.start(len(r.machines) - 1); err != nil {
				return "", nil, err
			}
		}
	}
	if err := r.await(ctx, func() bool { return site.Routers.Ready() == len(r.machines) }); err != nil {
		return "", nil, errors.Annotate(err, "wait until instances are in rotation")
	}
	site.BeginLoad(o.Feeds, o.Orders)
	for _, s := range r.script() {
		_, _ = fmt.Fprintln(o.Progress, s.what)
		if err := s.do(); err != nil {
			return "", nil, errors.Annotate(err, s.what)
		}
		if err := pause(ctx, o.Pause); err != nil {
			return "", nil, err
		}
	}
	site.EndLoad()
	return fmt.Sprintf("%s, store calls %d", site.Ledger.Summary(), site.Store.Calls()), site.Ledger.Broken(), nil
}

// tokenStep is one event of the demo.
type tokenStep struct {
	what string
	do   func() error
}

func (r *tokenRun) script() []tokenStep {
	quick := func(f func()) func() error {
		return func() error { f(); return nil }
	}
	zone := r.Zones[1]
	return []tokenStep{
		{"all quiet", quick(func() {})},
		{"a host drains, another starts cold", func() error {
			r.Drain(r.Hosts[0])
			_, err := r.AddHost(r.Zones[0], 2*time.Second)
			return err
		}},
		{"an instance is killed", quick(func() { r.Disturb(); r.kill(0) })},
		{"a host goes dark", quick(func() { r.Disturb(); r.Hosts[2].Set(standin.Dark) })},
		{"the store falls silent, the killed instance starts again", func() error {
			r.Store.SetFault("", standin.FaultSilent)
			return r.start(0)
		}},
		{"the store is back, a new configuration comes", func() error {
			r.Store.SetFault("", standin.FaultNone)
			return r.Configure(true)
		}},
		{"zone " + zone + " is taken out", quick(func() { r.Evacuate(zone, false) })},
		{"an instance stops as planned", quick(func() {
			r.edges[4].Stop()
			r.logs[4].Close()
			r.edges[4] = nil
		})},
		{"zone " + zone + " is back", quick(func() { r.Evacuate(zone, true) })},
	}
}

func (r *tokenRun) start(i int) error {
	m := r.machines[i]
	text := r.Settings(m)
	if seed := r.machines[len(r.machines)-1]; seed != m {
		text += "[peers]\nseeds = " + seed.IP + ":1\n"
	}
	s, err := settings.Parse(m.Name, []byte(text))
	if err != nil {
		return err
	}
	sockets, err := edge.Open(s)
	if err != nil {
		return err
	}
	r.logs[i] = eventlog.New(s.ID, r.options.Log)
	r.edges[i], err = edge.New(s, sockets, r.logs[i])
	return err
}

func (r *tokenRun) kill(i int) {
	r.edges[i].Close()
	r.logs[i].Close()
	r.edges[i] = nil
}

func (r *tokenRun) close() {
	r.EndLoad()
	for i, e := range r.edges {
		if e != nil {
			r.kill(i)
		}
	}
	r.Close()
}

const awaitStep = 20 * time.Millisecond

func (r *tokenRun) await(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for !condition() {
		if err := pause(ctx, awaitStep); err != nil {
			return err
		}
	}
	return nil
}
