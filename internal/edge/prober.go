package edge

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"

	"carawaycart"
	"carawaycart/core/steer"
	"carawaycart/internal/eventlog"
	"carawaycart/platform"
)

const (
	// probeTimeout limits the wait for the answer to a probe. A round trip between
	// regions takes up to 45 ms.
	probeTimeout = 150 * time.Millisecond

	// maxProbeLateness is the time after the timeout of a probe beyond which the instance
	// itself was too busy to notice an answer.
	maxProbeLateness = 50 * time.Millisecond

	// initialProbePeriod is the time between the first two probes. The period
	// doubles up to maxProbePeriod.
	initialProbePeriod = 50 * time.Millisecond
	maxProbePeriod     = steer.MaxProbePeriod
)

// Prober sends health checks to endpoints that left packets unanswered, here or at a
// peer.
type Prober struct {
	router          *steer.Router
	notifySilent    func(carawaycart.Token)    // informs peers that an endpoint is silent
	notifyRestarted func(carawaycart.Token)    // informs peers that an endpoint has started again
	reset           func([]carawaycart.Packet) // resets the flows of packets
	loading         func() bool                // whether a large transfer may fill the own link
	clock           carawaycart.Clock
	counters        *Counters
	log             *eventlog.Log
	client          *http.Client
	ctx             context.Context
	cancel          context.CancelFunc
	done            sync.WaitGroup

	mu      sync.Mutex
	probing map[carawaycart.LifetimeKey]bool // lifetimes being probed
	// recovered is closed and replaced when an endpoint that was silent answers again.
	recovered chan struct{}
}

// NewProber returns a prober. Its router, notifySilent, notifyRestarted, reset and loading
// must be set before Probe is called.
func NewProber(k carawaycart.Clock, c *Counters, log *eventlog.Log) *Prober {
	p := &Prober{
		clock: k, counters: c, log: log, probing: make(map[carawaycart.LifetimeKey]bool), recovered: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Close stops all probes and waits for them to end.
func (p *Prober) Close() {
	p.cancel()
	p.done.Wait()
}

// Probe starts to probe the endpoint of l in the background, until it answers or l
// has ended. It does nothing if l is being probed already. When one endpoint that was
// silent answers again, the others are probed without delay, since a cut that has
// healed often separated several.
func (p *Prober) Probe(l *carawaycart.Lifetime) {
	key := l.Key()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.probing[key] || p.ctx.Err() != nil {
		return
	}
	p.probing[key] = true
	probed := *l
	token := p.router.Table().Token(key)
	p.done.Go(func() {
		defer func() {
			p.mu.Lock()
			delete(p.probing, key)
			p.mu.Unlock()
		}()
		for period := initialProbePeriod; ; period = min(2*period, maxProbePeriod) {
			began := p.clock.Now()
			loaded := p.loading()
			outcome := p.probeOnce("http://"+probed.Address.String()+p.router.Table().HealthPath(probed.Service), &probed)
			recovered := p.nextRecovery()
			late := p.clock.Now().Sub(began) > probeTimeout+maxProbeLateness
			if !outcome.Alive() && (late || loaded || p.loading()) && p.wait(initialProbePeriod, nil) {
				continue // the own processor or link may be busy, which is no evidence against the endpoint
			}
			result := p.router.RecordProbe(key, outcome, began, p.clock.Now())
			switch {
			case result.Restarted:
				p.notifyRestarted(token)
			case result.Recovered:
				p.announceRecovery()
			case result.Silent:
				p.reset(p.router.TakeStranded(key, p.clock.Now()))
				if !result.Reported {
					p.notifySilent(token)
				}
			}
			if !result.Again {
				return
			}
			if !p.wait(period, recovered) {
				return
			}
			select {
			case <-recovered:
				period = initialProbePeriod
			default:
			}
		}
	})
}

// wait waits for d, or until early is closed. It returns false if the prober is closed.
func (p *Prober) wait(d time.Duration, early <-chan struct{}) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-p.ctx.Done():
		return false
	case <-early:
	case <-t.C:
	}
	return true
}

// nextRecovery returns a channel that is closed when an endpoint that was silent next
// answers again.
func (p *Prober) nextRecovery() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recovered
}

// announceRecovery ends the waits of all probes.
func (p *Prober) announceRecovery() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.recovered)
	p.recovered = make(chan struct{})
}

// probeOnce probes the endpoint of l at url. An endpoint that accepts the connection is alive, even if it is too busy to answer in time, or is full and resets
// the connection, which may be seen before the connection counts as established. It is not
// alive if the answer has the ID of another endpoint, which may have been given the address
// since. An answer of a later lifetime says nothing of l but that it has ended.
func (p *Prober) probeOnce(url string, l *carawaycart.Lifetime) steer.ProbeOutcome {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	p.counters.Probes.Inc(1)
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(traced, http.MethodGet, url, nil)
	if err != nil {
		p.log.Event("probeFailed").Err(err).End()
		return steer.ProbeAnswered // no probe was sent, so there is no evidence against the endpoint
	}
	response, err := p.client.Do(request)
	if err != nil {
		p.log.Event("probeUnanswered").Text("endpoint", string(l.ID)).Bool("connected", connected.Load()).Err(err).End()
		switch {
		case connected.Load() || errors.Is(err, syscall.ECONNRESET):
			return steer.ProbeAnswered
		case errors.Is(err, syscall.ECONNREFUSED):
			return steer.ProbeRefused
		}
		return steer.ProbeUnanswered
	}
	defer func() { _ = response.Body.Close() }()
	if responder := response.Header.Get(platform.EndpointIDHeader); responder != "" && responder != string(l.ID) {
		return steer.ProbeRefused
	}
	if startedAt := platform.ReadHealth(response.Body); l.StartedAt != 0 && startedAt > l.StartedAt {
		p.log.Event("restarted").Text("endpoint", string(l.ID)).Int("bornBefore", int64(l.StartedAt)).Int("born", int64(startedAt)).End()
		return steer.ProbeRestarted
	}
	return steer.ProbeAnswered
}
