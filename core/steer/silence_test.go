package steer_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"carawaycart"
	"carawaycart/core/steer"
)

// Load pattern: an endpoint is silent behind a cut, its entry expires meanwhile, and it
// returns with its entry after the cut. Guards against resetting its open flows on
// evidence from before, and against an endpoint that gets no flow again because nobody
// probes it.
func TestReturnedEndpointIsNotSilent(t *testing.T) {
	f := newFleet(1, 2)
	r := f.routers[0]
	d := mustForward(t, r.Decide(first(1, feed), start))
	r.Decide(acknowledgement(1, feed, d.Token), start.Add(8*time.Millisecond))
	makeSilent(t, f, 0, d.Endpoint, start.Add(time.Second))
	l := f.endpoint(d.Endpoint)
	f.remove(d.Endpoint)
	f.update(start.Add(4 * time.Second))
	r.RecordProbe(l.Key(), steer.ProbeUnanswered, start.Add(4*time.Second), start.Add(4150*time.Millisecond))
	if got := r.RecordProbe(l.Key(), steer.ProbeUnanswered, start.Add(4200*time.Millisecond), start.Add(4350*time.Millisecond)); got.Again {
		t.Fatal("got an ended endpoint probed again after two failed probes, want no more probes")
	}
	f.events[0].probeRequests = nil
	f.contents.Lifetimes = append(f.contents.Lifetimes, l)
	now := start.Add(7 * time.Second)
	f.update(now)
	if got := f.events[0].probeRequests; len(got) != 1 || got[0] != d.Endpoint {
		t.Errorf("got probes of %v requested on the return, want one of %s", got, d.Endpoint)
	}
	if got := r.Decide(request(1, feed, d.Token), now); got.Verdict != carawaycart.VerdictForward {
		t.Errorf("got verdict %d for %s, want the open flow to continue after its endpoint returned", got.Verdict, got.Cause)
	}
}

// Load pattern: a silent endpoint whose probes have stopped for whatever reason, while
// new flows arrive. Guards against relying on a single event to end its silence.
func TestOutdatedSilenceIsProbed(t *testing.T) {
	f := newFleet(1, 2)
	r := f.routers[0]
	makeSilent(t, f, 0, "i-01", start)
	f.events[0].probeRequests = nil
	r.Decide(first(1, feed), start.Add(time.Second))
	if got := f.events[0].probeRequests; len(got) != 0 {
		t.Errorf("got probes of %v requested while the last one is recent, want none", got)
	}
	now := start.Add(3 * time.Second)
	if d := r.Decide(first(2, feed), now); d.Endpoint == "i-01" {
		t.Error("got a new flow at an endpoint whose silence is outdated while another answers")
	}
	if got := f.events[0].probeRequests; len(got) != 1 || got[0] != "i-01" {
		t.Errorf("got probes of %v requested, want one of i-01", got)
	}
}

// silenceMachine is the state machine of TestSilenceProperty: an instance with one
// endpoint that may be cut off, whose entry may disappear and return, and whose probes
// take place as the Prober sends them.
type silenceMachine struct {
	fleet     *fleet
	key       carawaycart.LifetimeKey
	lifetime  *carawaycart.Lifetime
	token     carawaycart.Token
	now       time.Time
	reachable bool
	changedAt time.Time // when reachable last changed
	listed    bool
	probing   bool      // whether a probe is scheduled
	probeAt   time.Time // when the next probe is sent
	period    time.Duration
	flow      int
}

// probe returns the outcome of a probe.
func (m *silenceMachine) probe() steer.ProbeOutcome {
	if m.reachable {
		return steer.ProbeAnswered
	}
	return steer.ProbeUnanswered
}

// advance moves the time on, in steps in which scheduled probes take place.
func (m *silenceMachine) advance(d time.Duration) {
	const probeTimeout = 150 * time.Millisecond
	r := m.fleet.routers[0]
	for end := m.now.Add(d); ; {
		if len(m.fleet.events[0].probeRequests) > 0 && !m.probing {
			m.probing, m.probeAt, m.period = true, m.now, 100*time.Millisecond
		}
		m.fleet.events[0].probeRequests = nil
		if !m.probing || m.probeAt.After(end) {
			m.now = end
			return
		}
		began := m.probeAt
		m.now = began
		if !m.reachable {
			m.now = began.Add(probeTimeout)
		}
		m.probing = r.RecordProbe(m.key, m.probe(), began, m.now).Again
		m.probeAt = m.now.Add(m.period)
		m.period = min(2*m.period, steer.MaxProbePeriod)
		if m.now.After(end) {
			return
		}
	}
}

// Property: whatever order cuts, returns, expiries and timeouts come in, an endpoint that
// has been reachable and listed for a probe period and a probe is not silent, and no open
// flow is reset because of silence that is older.
func TestSilenceProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(1, 1)
		l := f.contents.Lifetimes[0]
		m := &silenceMachine{fleet: f, key: l.Key(), lifetime: l, now: start, reachable: true, listed: true, changedAt: start}
		r := f.routers[0]
		d := r.Decide(first(1, feed), m.now)
		m.token, m.flow = d.Token, 100
		r.Decide(acknowledgement(1, feed, d.Token), m.now.Add(time.Millisecond))
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				m.reachable, m.changedAt = !m.reachable, m.now
			case 1: // the entry expires or returns
				if m.listed {
					f.remove(l.ID)
				} else {
					f.contents.Lifetimes = append(f.contents.Lifetimes, l)
				}
				m.listed, m.changedAt = !m.listed, m.now
				f.update(m.now)
			case 2: // new flows, whose first packets are answered or time out
				for range 2 {
					m.flow++
					d := r.Decide(first(m.flow, feed), m.now)
					k := key(m.flow, feed)
					if d.Verdict != carawaycart.VerdictForward {
						continue
					}
					if m.reachable {
						r.Decide(acknowledgement(m.flow, feed, d.Token), m.now)
					} else {
						r.Hedge(&k, m.now.Add(40*time.Millisecond))
					}
				}
			default:
				m.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			}
			m.advance(0)
			const bound = steer.MaxProbePeriod + steer.SilenceSlack
			if !m.reachable || !m.listed || m.now.Sub(m.changedAt) <= bound {
				continue
			}
			if got := r.Decide(request(1, feed, m.token), m.now); got.Verdict != carawaycart.VerdictForward {
				t.Fatalf("got verdict %d for %s of an open flow %v after its endpoint became reachable", got.Verdict, got.Cause, m.now.Sub(m.changedAt))
			}
			m.advance(time.Second) // the new flow may cause the probe that shows that it answers
			if v := r.Endpoints(m.now); v[0].Silent {
				t.Fatal(fmt.Sprint("got the endpoint silent ", m.now.Sub(m.changedAt), " after it became reachable"))
			}
		}
	})
}

// Load pattern: long flows of many instances at an endpoint that goes dark, so that each
// instance sees a request at it only now and then. Guards against evidence that gets
// thinner the more instances there are: the first unanswered request asks for a probe,
// without another packet, and callers that wait are reset as soon as the silence is
// known, while half of a budget of 1 s is left.
func TestDarkEndpointIsFoundFromOneRequest(t *testing.T) {
	for _, test := range []struct {
		name    string
		service netip.AddrPort
		want    int
	}{{"repeatable request", feed, 1}, {"request that may run once", order, 0}} {
		f := newFleet(1, 4)
		r := f.routers[0]
		d := mustForward(t, r.Decide(first(1, test.service), start))
		r.Decide(acknowledgement(1, test.service, d.Token), start.Add(time.Millisecond))
		sent := start.Add(5 * time.Second)
		r.Decide(request(1, test.service, d.Token), sent)
		now := sent
		for ; len(f.events[0].probeRequests) == 0 && now.Before(sent.Add(time.Second)); now = now.Add(50 * time.Millisecond) {
			r.ProcessDeadlines(now)
		}
		if waited := now.Sub(sent); waited > 600*time.Millisecond {
			t.Fatalf("%s: got no probe within %v of the request", test.name, waited)
		}
		r.Decide(request(1, test.service, d.Token), now) // callers send again what is not acknowledged
		k := f.endpoint(d.Endpoint).Key()
		r.RecordProbe(k, steer.ProbeUnanswered, now, now.Add(150*time.Millisecond))
		if got := r.TakeStranded(k, now.Add(150*time.Millisecond)); len(got) != 0 {
			t.Errorf("%s: got %d flows reset after one failed probe, want none", test.name, len(got))
		}
		silentAt := now.Add(350 * time.Millisecond)
		r.RecordProbe(k, steer.ProbeUnanswered, now.Add(200*time.Millisecond), silentAt)
		got := r.TakeStranded(k, silentAt)
		if len(got) != test.want {
			t.Fatalf("%s: got %d flows reset, want %d", test.name, len(got), test.want)
		}
		if len(got) > 0 && (got[0].Key != key(1, test.service) || got[0].Acknowledged != 500) {
			t.Errorf("%s: got a reset for %+v, want one for the flow that waits", test.name, got[0])
		}
		if got := r.TakeStranded(k, silentAt); len(got) != 0 {
			t.Errorf("%s: got %d flows reset again", test.name, len(got))
		}
	}
}

// Guards against peers that each need two failed probes of their own for an endpoint
// that one of them has found silent, and against an endpoint that is silent by report
// alone, although it answers here.
func TestSilenceReportedByPeerNeedsOneProbe(t *testing.T) {
	f := newFleet(1, 2)
	r := f.routers[0]
	l := f.endpoint("i-01")
	token := r.Endpoints(start)[0].Token
	r.RequestProbe(token, start)
	if v := r.Endpoints(start)[0]; v.Silent {
		t.Error("got the endpoint silent by report alone")
	}
	got := r.RecordProbe(l.Key(), steer.ProbeUnanswered, start, start.Add(150*time.Millisecond))
	if !got.Silent || !got.Reported {
		t.Errorf("got %+v after a report and a failed probe, want the endpoint silent without another report", got)
	}
	f = newFleet(1, 2)
	r = f.routers[0]
	r.RequestProbe(token, start)
	if got := r.RecordProbe(l.Key(), steer.ProbeAnswered, start, start.Add(time.Millisecond)); got.Silent || got.Again {
		t.Errorf("got %+v, want an endpoint that answers not silent", got)
	}
}

// Guards against a state that operators cannot trace to its evidence.
func TestEvidenceOfSilence(t *testing.T) {
	f := newFleet(1, 2)
	r := f.routers[0]
	makeSilent(t, f, 0, "i-01", start)
	r.RequestProbe(r.Endpoints(start)[0].Token, start.Add(3*time.Second)) // the silence is outdated by then
	now := start.Add(4 * time.Second)
	got := r.Endpoints(now)[0].Evidence
	want := steer.Evidence{Timeouts: 2, FailedProbes: 2, ProbeFailed: start.Add(440 * time.Millisecond), PeerReported: start.Add(3 * time.Second)}
	if got != want {
		t.Errorf("got evidence %+v, want %+v", got, want)
	}
	r.RecordProbe(f.endpoint("i-01").Key(), steer.ProbeAnswered, now, now)
	if got := r.Endpoints(now)[0].Evidence; got.FailedProbes != 0 || got.Timeouts != 0 || got.AnsweredAt != now {
		t.Errorf("got evidence %+v after an answer, want none against the endpoint", got)
	}
}

// A peer that is cut off from the endpoints, but not from the instances of its zone,
// reports them all as silent. Guards against resetting the flows of an endpoint that
// answers here, because one probe of it is lost by chance.
func TestReportOfPeerThatIsCutOff(t *testing.T) {
	f := newFleet(1, 1)
	r := f.routers[0]
	d := mustForward(t, r.Decide(first(1, feed), start))
	r.Decide(request(1, feed, d.Token), start.Add(8*time.Millisecond))
	r.Decide(answered(1, feed, d.Token), start.Add(100*time.Millisecond))
	r.RequestProbe(d.Token, start.Add(300*time.Millisecond))
	if got := r.RecordProbe(f.endpoint(d.Endpoint).Key(), steer.ProbeUnanswered, start.Add(300*time.Millisecond), start.Add(450*time.Millisecond)); got.Silent {
		t.Error("got the endpoint silent after one lost probe, although it answered shortly before the report")
	}
}

// An endpoint that has no room for more connections leaves first packets and probes
// unanswered and serves its open flows. Guards against resetting these before data on one
// of them was left unanswered too.
func TestEndpointWithoutRoomKeepsOpenFlows(t *testing.T) {
	f := newFleet(1, 3)
	r := f.routers[0]
	d := mustForward(t, r.Decide(first(1, feed), start))
	r.Decide(acknowledgement(1, feed, d.Token), start.Add(8*time.Millisecond))
	makeSilent(t, f, 0, d.Endpoint, start.Add(time.Second))
	now := start.Add(1500 * time.Millisecond)
	if got := r.Decide(request(1, feed, d.Token), now); got.Verdict != carawaycart.VerdictForward {
		t.Fatalf("got verdict %d for %s, want the request on the open flow forwarded", got.Verdict, got.Cause)
	}
	if got := r.TakeStranded(f.endpoint(d.Endpoint).Key(), now.Add(20*time.Millisecond)); len(got) != 0 {
		t.Errorf("got %d flows reset 20 ms after the request, want none", len(got))
	}
	if got := r.Decide(first(2, feed), now); got.Endpoint == d.Endpoint {
		t.Error("got a new flow at the endpoint")
	}
	if got := r.Decide(request(1, feed, d.Token), now.Add(200*time.Millisecond)); got.Cause != carawaycart.CauseSilent {
		t.Errorf("got verdict %d for %s for data that was sent again, want a reset", got.Verdict, got.Cause)
	}
}
