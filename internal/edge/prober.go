package edge

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"carawaycart"
	"carawaycart/core/steer"
	"carawaycart/internal/eventlog"
	"carawaycart/platform"
)

const (
	probeLimit = 150 * time.Millisecond // for the answer to a probe; a round trip takes up to 45 ms between regions
	// confirmPeriod is between the first two probes; it doubles up to maxProbe.
	confirmPeriod = 100 * time.Millisecond
	maxProbe      = 1600 * time.Millisecond
)

// Prober asks endpoints that left packets unanswered whether they are there.
type Prober struct {
	router   *steer.Router
	tell     func(carawaycart.Token) // peers of a silent endpoint
	clock    carawaycart.Clock
	counters *Counters
	log      *eventlog.Log
	client   *http.Client
	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup

	mu     sync.Mutex
	asking map[carawaycart.LifetimeKey]bool
}

// NewProber returns a prober; it must be given a router before its first use.
func NewProber(k carawaycart.Clock, c *Counters, log *eventlog.Log) *Prober {
	p := &Prober{
		clock: k, counters: c, log: log, asking: make(map[carawaycart.LifetimeKey]bool),
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// Close stops probing.
func (p *Prober) Close() {
	p.cancel()
	p.done.Wait()
}

// Probe asks the endpoint of l until it answers or has ended.
func (p *Prober) Probe(l *carawaycart.Lifetime) {
	key := l.Key()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.asking[key] || p.ctx.Err() != nil {
		return
	}
	p.asking[key] = true
	address := l.Address.String()
	id := string(l.ID)
	service := l.Service
	token := p.router.Table().Token(key)
	p.done.Go(func() {
		defer func() {
			p.mu.Lock()
			delete(p.asking, key)
			p.mu.Unlock()
		}()
		for period := confirmPeriod; ; period = min(2*period, maxProbe) {
			began := p.clock.Now()
			alive := p.ask("http://"+address+p.router.Table().HealthPath(service), id)
			again, silent := p.router.Probed(key, alive, began, p.clock.Now())
			if !again {
				return
			}
			if silent {
				p.tell(token)
			}
			select {
			case <-p.ctx.Done():
				return
			case <-time.After(period):
			}
		}
	})
}

// ask reports whether endpoint id is there to answer at url. One that accepts the
// connection is, even if it is too busy to answer in time; another endpoint that
// has the address by now speaks for itself alone.
func (p *Prober) ask(url, id string) bool {
	ctx, cancel := context.WithTimeout(p.ctx, probeLimit)
	defer cancel()
	p.counters.Probes.Inc(1)
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(traced, http.MethodGet, url, nil)
	if err != nil {
		p.log.Event("probeFailed").Err(err).End()
		return true // an endpoint that cannot be asked is not condemned
	}
	response, err := p.client.Do(request)
	if err != nil {
		return connected.Load()
	}
	_ = response.Body.Close()
	name := response.Header.Get(platform.EndpointHeader)
	return name == "" || name == id
}
