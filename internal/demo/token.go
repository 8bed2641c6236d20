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

// TokenOptions configures RunToken, which needs at least two zones, and in total
// three endpoints and five instances.
type TokenOptions struct {
	Zones             int           // number of availability zones
	Endpoints         int           // endpoints per zone
	Instances         int           // instances per zone
	Feeds             int           // long-lived flows per zone
	RequestsPerSecond int           // keyed requests per second and zone
	Pause             time.Duration // time between steps
	Progress          io.Writer     // destination of the descriptions of the steps
	Log               io.Writer     // destination of the logs of all instances
}

// DefaultTokenOptions returns the options of the demo, which discard all output.
func DefaultTokenOptions() TokenOptions {
	return TokenOptions{
		Zones: 3, Endpoints: 4, Instances: 3, Feeds: 8, RequestsPerSecond: 20, Pause: 1500 * time.Millisecond,
		Progress: io.Discard, Log: io.Discard,
	}
}

// tokenRun is the state of a RunToken call.
type tokenRun struct {
	*standin.Site
	options   TokenOptions
	machines  []standin.Machine // the emulated machines on which the instances run
	instances []*edge.Instance  // by index in machines; nil while the instance is down
	logs      []*eventlog.Log   // by index in machines
}

// RunToken drives instances that forward packets carrying tokens, on an emulated
// platform, through planned changes and failures. It returns a summary of the
// events that endpoints and callers observed, and the violated guarantees.
func RunToken(ctx context.Context, o TokenOptions) (summary string, violations []string, err error) {
	site, err := standin.NewSite(o.Zones, o.Endpoints)
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
			r.instances = append(r.instances, nil)
			r.logs = append(r.logs, nil)
			if err := r.startInstance(len(r.machines) - 1); err != nil {
				return "", nil, err
			}
		}
	}
	if err := r.await(ctx, func() bool { return site.Routers.ReadyCount() == len(r.machines) }); err != nil {
		return "", nil, errors.Annotate(err, "wait for all instances to enter rotation")
	}
	site.BeginLoad(o.Feeds, o.RequestsPerSecond)
	for _, s := range r.steps() {
		_, _ = fmt.Fprintln(o.Progress, s.description)
		if err := s.run(); err != nil {
			return "", nil, errors.Annotate(err, s.description)
		}
		if err := pause(ctx, o.Pause); err != nil {
			return "", nil, err
		}
	}
	site.EndLoad()
	return fmt.Sprintf("%s, store calls %d", site.Ledger.Summary(), site.Store.Calls()), site.Ledger.Violations(), nil
}

// tokenStep is one step of the demo, a planned change or a failure.
type tokenStep struct {
	description string
	run         func() error
}

// steps returns the steps of the demo in their order.
func (r *tokenRun) steps() []tokenStep {
	withoutError := func(f func()) func() error {
		return func() error { f(); return nil }
	}
	zone := r.Zones[1]
	return []tokenStep{
		{"steady load", withoutError(func() {})},
		{"an endpoint drains, another starts cold", func() error {
			r.Drain(r.Endpoints[0])
			_, err := r.AddEndpoint(r.Zones[0], 2*time.Second)
			return err
		}},
		{"an instance is killed", withoutError(func() { r.RecordDisturbance(); r.killInstance(0) })},
		{"an endpoint becomes silent", withoutError(func() { r.RecordDisturbance(); r.Endpoints[2].SetCondition(standin.Crashed) })},
		{"the store stops responding, the killed instance is restarted", func() error {
			r.Store.SetFault("", standin.FaultSilent) // for all instances
			return r.startInstance(0)
		}},
		{"the store responds again, a new configuration is written", func() error {
			r.Store.SetFault("", standin.FaultNone)
			return r.Configure(true)
		}},
		{"zone " + zone + " is taken out", withoutError(func() { r.SetZoneInService(zone, false) })},
		{"an instance stops as planned", withoutError(func() {
			r.instances[4].Stop()
			r.logs[4].Close()
			r.instances[4] = nil
		})},
		{"zone " + zone + " is brought back", withoutError(func() { r.SetZoneInService(zone, true) })},
	}
}

// startInstance starts instance i. The last instance is the seed of the others. With
// the token format the port of a seed is ignored.
func (r *tokenRun) startInstance(i int) error {
	m := r.machines[i]
	text := r.Settings(m)
	if seed := r.machines[len(r.machines)-1]; seed != m {
		text += "[peers]\nseeds = " + seed.IP + ":1\n"
	}
	s, err := settings.Parse(m.InstanceID, []byte(text))
	if err != nil {
		return err
	}
	sockets, err := edge.OpenSockets(s)
	if err != nil {
		return err
	}
	r.logs[i] = eventlog.New(s.ID, r.options.Log)
	r.instances[i], err = edge.New(s, sockets, r.logs[i])
	return err
}

// killInstance ends instance i without a planned stop.
func (r *tokenRun) killInstance(i int) {
	r.instances[i].Close()
	r.logs[i].Close()
	r.instances[i] = nil
}

func (r *tokenRun) close() {
	r.EndLoad()
	for i, e := range r.instances {
		if e != nil {
			r.killInstance(i)
		}
	}
	r.Close()
}

// pollInterval is the time between checks of the condition of await.
const pollInterval = 20 * time.Millisecond

// await polls condition until it holds. It fails after 10 s or at the end of ctx.
func (r *tokenRun) await(ctx context.Context, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	for !condition() {
		if err := pause(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}
