package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/core/config"
	"carawaycart/internal/admin"
	"carawaycart/internal/standin"
)

// Options choose what a demo runs.
type Options struct {
	Site     standin.Site
	Seed     uint64
	Feeds    int // flows of the main service
	Uploads  int // flows of the intake service at any time
	Orders   int // orders per second
	Progress io.Writer
}

// DefaultOptions returns the options of a demo of the given site.
func DefaultOptions(site standin.Site) Options {
	return Options{Site: site, Seed: 1, Feeds: 1400, Uploads: 60, Orders: 40, Progress: io.Discard}
}

const (
	feedInterval   = 500 * time.Millisecond
	uploadInterval = 100 * time.Millisecond
	uploadLength   = 3 * time.Second
	rampPeriod     = 3 * time.Second
	coldPeriod     = 4 * time.Second
	changeLimit    = 10 * time.Second
	graceSeconds   = 3 // after which a leaving endpoint or a zone taken out gets nothing
	demoProfile    = carawaycart.ProfileName("demo")
	operatorName   = carawaycart.OperatorName("demo-operator")
)

// Demo is one run.
type Demo struct {
	options Options
	fleet   *Fleet
	admin   *admin.Admin
	random  *rand.Rand
	report  Report
	start   time.Time

	callers sync.WaitGroup
	highest map[carawaycart.InstanceID]carawaycart.Revision
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// Run runs a demo to its end and returns its report.
func Run(ctx context.Context, o Options) (*Report, error) {
	d, err := newDemo(o)
	if err != nil {
		return nil, err
	}
	defer d.fleet.Close()
	if err := d.run(ctx); err != nil {
		return nil, err
	}
	return &d.report, nil
}

func (d *Demo) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := d.setUp(ctx); err != nil {
		return err
	}
	var watchers sync.WaitGroup
	watch, stopWatching := context.WithCancel(ctx)
	watchers.Go(func() { d.fleet.Measure(watch) })
	watchers.Go(func() { d.watchRevisions(watch) })
	load, stopLoad := context.WithCancel(ctx)
	d.startLoad(load)
	err := d.script(ctx)
	stopLoad()
	d.callers.Wait()
	d.finish()
	stopWatching()
	watchers.Wait()
	return err
}

func (d *Demo) say(format string, args ...any) {
	t := d.fleet.Ledger.Totals()
	_, _ = fmt.Fprintf(d.options.Progress, "%5.1fs  %s [%d flows, %d broken, %d orders, %d confirmed]\n",
		time.Since(d.start).Seconds(), fmt.Sprintf(format, args...), t.FlowsOpened, t.FlowsBroken, t.OrdersSent, t.OrdersConfirmed)
}

// setUp writes the configuration and starts hosts and instances.
func (d *Demo) setUp(ctx context.Context) error {
	revision, err := d.configure(ctx)
	if err != nil {
		return err
	}
	return d.startInstances(ctx, revision)
}

// configure starts the hosts, writes the configuration, and returns its revision.
func (d *Demo) configure(ctx context.Context) (carawaycart.Revision, error) {
	site := d.options.Site
	profile := carawaycart.Profile{
		Name: demoProfile, ColdFlows: 20, ColdRequests: 1, WarmupSeconds: 5, DrainSeconds: 600, FlowIdleSeconds: 5,
		RequestSeconds: 5, QueueSeconds: 2, RetryPercent: 20, AnswerSeconds: 600,
	}
	bundle := config.Bundle{Profiles: []carawaycart.Profile{profile}}
	for _, z := range site.Zones {
		bundle.Zones = append(bundle.Zones, carawaycart.Zone{ID: z})
	}
	for _, s := range []standin.SiteService{site.Main, site.Intake} {
		bundle.Services = append(bundle.Services, carawaycart.Service{ID: s.ID, Address: s.Address, Profile: demoProfile})
		for i := range s.Hosts {
			h, err := d.addHost(s, i)
			if err != nil {
				return 0, err
			}
			bundle.Endpoints = append(bundle.Endpoints, h.Endpoint())
		}
	}
	c, err := d.admin.Put(ctx, carawaycart.KindBundle, site.Name, bundle)
	return c.Revision, err
}

func (d *Demo) addHost(s standin.SiteService, i int) (*standin.Host, error) {
	zones := d.options.Site.Zones
	return d.fleet.AddHost(standin.HostConfig{
		ID: standin.HostName(s.ID, i), Service: s.ID, ServiceAddress: s.Address, Zone: zones[i%len(zones)],
		Flows: s.Flows, Slots: s.Slots, ColdFlows: 25, ColdRequests: 1,
	})
}

func (d *Demo) startInstances(ctx context.Context, r carawaycart.Revision) error {
	zones := d.options.Site.Zones
	for i := range d.options.Site.Instances {
		z := zones[i%len(zones)]
		if err := d.addInstance(standin.InstanceName(z, i/len(zones)), z); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	if err := d.fleet.AwaitReady(ctx, r); err != nil {
		return errors.Annotate(err, "await instances")
	}
	for id := range d.fleet.Instances() {
		d.fleet.Open(id)
	}
	d.say("%d instances ready at revision %d", d.report.Instances, r)
	return nil
}

func (d *Demo) addInstance(id carawaycart.InstanceID, z carawaycart.ZoneID) error {
	d.report.Instances++
	return d.fleet.AddInstance(id, z)
}

// watchRevisions looks for instances that go back to an older revision.
func (d *Demo) watchRevisions(ctx context.Context) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for id, b := range d.fleet.Instances() {
			r := b.Board.Revision()
			if r < d.highest[id] {
				d.report.ConfigReverts++
			}
			d.highest[id] = r
		}
	}
}

// change makes a change and waits until it is in force everywhere.
func (d *Demo) change(ctx context.Context, what string, make func() (carawaycart.Change, error)) error {
	c, err := make()
	if err != nil {
		return errors.Annotate(err, what)
	}
	accepted := time.Now()
	wait, cancel := context.WithTimeout(ctx, changeLimit)
	defer cancel()
	err = d.fleet.AwaitRevision(wait, c.Revision)
	took := time.Since(accepted).Seconds()
	d.report.ConfigInForceSecondsMax = max(d.report.ConfigInForceSecondsMax, took)
	d.say("%s (revision %d, in force after %.2f s)", what, c.Revision, took)
	if err != nil && ctx.Err() != nil {
		return err
	}
	return nil
}

func (d *Demo) finish() {
	d.report.Totals = d.fleet.Ledger.Totals()
	d.report.ControlBytesPerSecondMax, d.report.ControlBytesPeakSecond = d.fleet.ControlBytes()
	d.report.PeerBytesByCall = d.fleet.ControlCalls()
	_, d.report.StoreCallsPeakSecond = d.fleet.Store.Calls()
	for _, b := range d.fleet.Instances() {
		d.report.SlotsDirtyAtEnd = max(d.report.SlotsDirtyAtEnd, b.Counters.SlotsDirty.Value())
	}
	d.report.ElapsedSeconds = time.Since(d.start).Seconds()
}

// graceEnd is when a marked endpoint or zone must get nothing more.
func graceEnd() time.Time { return time.Now().Add(graceSeconds * time.Second) }
