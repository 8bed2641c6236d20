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

// Options configures a demo.
type Options struct {
	Site     standin.Site
	Seed     uint64    // determines the random choices of the script, fabric and callers
	Feeds    int       // number of flows of the main service
	Uploads  int       // mean number of concurrent flows of the intake service
	Requests int       // keyed requests per second
	Progress io.Writer // destination of the progress messages
}

// DefaultOptions returns the options of a demo of the given site, which discard
// the progress messages.
func DefaultOptions(site standin.Site) Options {
	return Options{Site: site, Seed: 1, Feeds: 1400, Uploads: 60, Requests: 40, Progress: io.Discard}
}

const (
	feedInterval   = 500 * time.Millisecond // time between data segments of a feed
	uploadInterval = 100 * time.Millisecond // time between data segments of an upload
	uploadDuration = 3 * time.Second
	rampPeriod     = 3 * time.Second  // time over which the feeds are opened
	coldPeriod     = 4 * time.Second  // time for which the script makes an endpoint cold
	changeTimeout  = 10 * time.Second // longest wait until all instances have applied a change
	// graceSeconds is the time after which an endpoint that starts to leave, or a zone
	// that is taken out of service, must receive no more work.
	graceSeconds = 3
	demoProfile  = carawaycart.ProfileName("demo")
	operatorName = carawaycart.OperatorName("demo-operator")
)

// Demo is the state of one run of a demo.
type Demo struct {
	options Options
	fleet   *Fleet
	admin   *admin.Admin
	random  *rand.Rand
	report  Report // complete once the script and the watchers have ended
	start   time.Time

	callers          sync.WaitGroup // goroutines that generate load
	highestRevisions map[carawaycart.InstanceID]carawaycart.Revision
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// Run runs a demo to completion and returns its report.
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
	watchCtx, stopWatching := context.WithCancel(ctx)
	watchers.Go(func() { d.fleet.MeasureControlBytes(watchCtx) })
	watchers.Go(func() { d.watchRevisions(watchCtx) })
	loadCtx, stopLoad := context.WithCancel(ctx)
	d.startLoad(loadCtx)
	err := d.runScript(ctx)
	stopLoad()
	d.callers.Wait()
	d.completeReport()
	stopWatching()
	watchers.Wait()
	return err
}

// printProgress writes a message with the elapsed time and the main totals to the
// progress writer.
func (d *Demo) printProgress(format string, args ...any) {
	t := d.fleet.Ledger.Totals()
	_, _ = fmt.Fprintf(d.options.Progress, "%5.1fs  %s [%d flows, %d broken, %d orders, %d confirmed]\n",
		time.Since(d.start).Seconds(), fmt.Sprintf(format, args...), t.FlowsOpened, t.FlowsBroken, t.KeyedSent, t.KeyedAnswered)
}

// setUp starts the endpoints, writes the configuration and starts the instances.
func (d *Demo) setUp(ctx context.Context) error {
	revision, err := d.configure(ctx)
	if err != nil {
		return err
	}
	return d.startInstances(ctx, revision)
}

// configure starts the endpoints, writes the configuration and returns its
// revision.
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
		for i := range s.EndpointCount {
			e, err := d.addEndpoint(s, i)
			if err != nil {
				return 0, err
			}
			bundle.Endpoints = append(bundle.Endpoints, e.Endpoint())
		}
	}
	c, err := d.admin.Put(ctx, carawaycart.KindBundle, site.Name, bundle)
	return c.Revision, err
}

// addEndpoint starts endpoint i of a service. While cold, it accepts 5 flows more
// than the profile allows instances to send.
func (d *Demo) addEndpoint(s standin.SiteService, i int) (*standin.EmulatedEndpoint, error) {
	zones := d.options.Site.Zones
	return d.fleet.AddEndpoint(standin.EndpointConfig{
		ID: standin.EndpointName(s.ID, i), Service: s.ID, ServiceAddress: s.Address, Zone: zones[i%len(zones)],
		MaxFlows: s.MaxFlows, RequestSlots: s.RequestSlots, ColdFlows: 25, ColdRequests: 1,
	})
}

// startInstances starts the instances of the site and sends them traffic once all
// are ready and have applied revision r.
func (d *Demo) startInstances(ctx context.Context, r carawaycart.Revision) error {
	zones := d.options.Site.Zones
	for i := range d.options.Site.Instances {
		z := zones[i%len(zones)]
		if err := d.addInstance(standin.InstanceName(z, i/len(zones)), z); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := d.fleet.AwaitReady(ctx, r); err != nil {
		return errors.Annotate(err, "wait for all instances to become ready")
	}
	for id := range d.fleet.Instances() {
		d.fleet.EnableTraffic(id)
	}
	d.printProgress("%d instances ready at revision %d", d.report.Instances, r)
	return nil
}

// addInstance starts an instance, which receives no traffic yet.
func (d *Demo) addInstance(id carawaycart.InstanceID, z carawaycart.ZoneID) error {
	d.report.Instances++
	return d.fleet.AddInstance(id, z)
}

// watchRevisions counts how often an instance reverts to an older revision, until
// ctx ends.
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
			if r < d.highestRevisions[id] {
				d.report.ConfigReverts++
			}
			d.highestRevisions[id] = r
		}
	}
}

// applyChange applies a configuration change and waits, for at most changeTimeout,
// until all instances have applied it. A change that takes longer is not an error
// here; the report then contains the time waited. The function make submits the
// change.
func (d *Demo) applyChange(ctx context.Context, description string, make func() (carawaycart.Change, error)) error {
	c, err := make()
	if err != nil {
		return errors.Annotate(err, description)
	}
	accepted := time.Now()
	waitCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err = d.fleet.AwaitRevision(waitCtx, c.Revision)
	took := time.Since(accepted).Seconds()
	d.report.ConfigInForceSecondsMax = max(d.report.ConfigInForceSecondsMax, took)
	d.printProgress("%s (revision %d, in force after %.2f s)", description, c.Revision, took)
	if err != nil && ctx.Err() != nil {
		return err
	}
	return nil
}

// completeReport copies the totals and measurements into the report.
func (d *Demo) completeReport() {
	d.report.Totals = d.fleet.Ledger.Totals()
	d.report.ControlBytesPerSecondMax, d.report.ControlBytesPeakSecond = d.fleet.ControlBytes()
	d.report.PeerBytesByCall = d.fleet.ControlBytesByCall()
	_, d.report.StoreCallsPeakSecond = d.fleet.Store.Calls()
	for _, b := range d.fleet.Instances() {
		d.report.SlotsDirtyAtEnd = max(d.report.SlotsDirtyAtEnd, b.Counters.SlotsDirty.Value())
	}
	d.report.ElapsedSeconds = time.Since(d.start).Seconds()
}

// graceDeadline returns the time from which an endpoint that starts to leave now, or
// a zone that is taken out of service now, must receive no more work.
func graceDeadline() time.Time { return time.Now().Add(graceSeconds * time.Second) }
