package claim_test

import (
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/claim"
)

// This file checks the claim protocol exhaustively on a small model. Three attempts
// at one keyed request reach the keeper of its key through two entry instances.
// The test explores every interleaving of their steps, with the loss of at most
// one copy to the replica or of its reply, and with a crash of the keeper before
// any step. After the crash the replica is the keeper and has no replica. The
// second entry instance may have a different view of the members, in which the
// replica is the keeper.

// choiceSequence replays a prefix of choices, chooses 0 from there on, and records
// the number of options of each choice.
type choiceSequence struct {
	prefix  []int
	chosen  []int
	options []int
}

// choose returns the next choice, a number below n.
func (c *choiceSequence) choose(n int) int {
	i := len(c.chosen)
	pick := 0
	if i < len(c.prefix) {
		pick = c.prefix[i]
	}
	c.chosen = append(c.chosen, pick)
	c.options = append(c.options, n)
	return pick
}

// next returns the prefix of the next run in lexicographic order, or nil after the
// last run.
func (c *choiceSequence) next() []int {
	for i := len(c.chosen) - 1; i >= 0; i-- {
		if c.chosen[i]+1 < c.options[i] {
			return append(append([]int(nil), c.chosen[:i]...), c.chosen[i]+1)
		}
	}
	return nil
}

type stage int

const (
	stageBegin stage = iota
	stageCopy
	stageRun
	stageFinish
	stageEnded
)

// attemptState is the state of one attempt at its entry instance.
type attemptState struct {
	claim           carawaycart.Claim
	replicaIsKeeper bool         // the entry instance regards the replica as the keeper
	keeper          *claim.Table // received the claim
	replica         *claim.Table // receives a copy of the claim; nil if there is none
	stage           stage
	ran             bool                // the request was run by an endpoint
	outcome         carawaycart.Outcome // outcome returned to the caller
}

// model is the state of the modelled system.
type model struct {
	choices     *choiceSequence
	keeper      *claim.Table
	replica     *claim.Table // nil after the crash
	crashed     bool
	lossAllowed bool // the loss of one copy has not been used up
	failed      map[*claim.Table]bool
	inFlight    []carawaycart.Claim // updates in flight to the replica
	now         time.Time
}

// step advances attempt a by one step.
func (m *model) step(a *attemptState) {
	if a.stage > stageBegin && a.stage < stageRun && m.failed[a.keeper] {
		// The entry instance gets no reply from the keeper and has not sent the
		// request to an endpoint.
		a.outcome, a.stage = carawaycart.OutcomeNotRun, stageEnded
		m.keeper.Merge(withState(a.claim, carawaycart.ClaimNotRun), m.now)
		return
	}
	switch a.stage {
	case stageBegin:
		m.begin(a)
	case stageCopy:
		m.copy(a)
	case stageRun:
		a.ran = true
		a.stage = stageFinish
	case stageFinish:
		answered := withState(a.claim, carawaycart.ClaimAnswered)
		m.keeper.Merge(answered, m.now)
		if m.replica != nil {
			m.inFlight = append(m.inFlight, answered)
		}
		a.outcome, a.stage = carawaycart.OutcomeAnswered, stageEnded
	}
}

func (m *model) begin(a *attemptState) {
	a.keeper, a.replica = m.keeper, m.replica
	if a.replicaIsKeeper && !m.crashed {
		a.keeper, a.replica = m.replica, m.keeper
	}
	verdict, held := a.keeper.Begin(a.claim, m.now)
	switch verdict {
	case claim.Run:
		a.stage = stageCopy
	case claim.Known:
		a.outcome, a.stage = carawaycart.OutcomeUnknown, stageEnded
		if held.State == carawaycart.ClaimAnswered {
			a.outcome = carawaycart.OutcomeAnswered
		}
	default:
		a.outcome, a.stage = carawaycart.OutcomeNotRun, stageEnded
	}
}

// copy sends a copy of the claim to the replica. The copy, or the reply to it,
// may be lost.
func (m *model) copy(a *attemptState) {
	const (
		delivered = iota
		lostBefore
		lostAfter
		deliveries
	)
	if a.replica == nil {
		a.stage = stageRun
		return
	}
	delivery := delivered
	if m.failed[a.replica] {
		delivery = lostBefore
	} else if m.lossAllowed {
		delivery = m.choices.choose(deliveries)
	}
	conflict := false
	var held carawaycart.Claim
	if delivery != lostBefore {
		held, conflict = a.replica.Merge(withState(a.claim, carawaycart.ClaimPending), m.now)
	}
	if delivery == delivered && !conflict {
		a.stage = stageRun
		return
	}
	m.lossAllowed = m.lossAllowed && delivery == delivered
	notRun := withState(a.claim, carawaycart.ClaimNotRun)
	a.keeper.Merge(notRun, m.now)
	m.inFlight = append(m.inFlight, notRun)
	a.stage = stageEnded
	a.outcome = carawaycart.OutcomeNotRun
	if delivery == delivered {
		a.keeper.Merge(held, m.now)
		a.outcome = carawaycart.OutcomeUnknown
	}
}

// crashKeeper makes the keeper fail and the replica take over.
func (m *model) crashKeeper() {
	m.failed[m.keeper] = true
	m.keeper, m.replica, m.crashed = m.replica, nil, true
}

// deliver merges the oldest update in flight into the remaining tables.
func (m *model) deliver() {
	for _, t := range []*claim.Table{m.keeper, m.replica} {
		if t != nil {
			t.Merge(m.inFlight[0], m.now)
		}
	}
	m.inFlight = m.inFlight[1:]
}

func runModel(choices *choiceSequence) []*attemptState {
	m := &model{
		choices: choices, keeper: claim.NewTable(), replica: claim.NewTable(), lossAllowed: true,
		failed: make(map[*claim.Table]bool), now: start,
	}
	attempts := []*attemptState{{claim: attempt("a")}, {claim: attempt("b")}, {claim: attempt("c")}}
	attempts[1].claim.Entry = "i2"
	attempts[1].replicaIsKeeper = choices.choose(2) == 1
	for {
		var steps []func()
		for _, a := range attempts {
			if a.stage != stageEnded {
				steps = append(steps, func() { m.step(a) })
			}
		}
		if len(steps) == 0 {
			return attempts
		}
		if !m.crashed {
			steps = append(steps, m.crashKeeper)
		}
		if len(m.inFlight) > 0 {
			steps = append(steps, m.deliver)
		}
		steps[choices.choose(len(steps))]()
	}
}

func TestClaimProtocolInAllInterleavings(t *testing.T) {
	modelRuns, answered, refused := 0, 0, 0
	for prefix := []int{}; prefix != nil; {
		choices := &choiceSequence{prefix: prefix}
		attempts := runModel(choices)
		modelRuns++
		runs := 0
		for _, a := range attempts {
			if a.ran {
				runs++
			}
			if a.outcome == carawaycart.OutcomeNotRun && a.ran {
				t.Fatalf("choices %v: attempt %s was reported as not run but ran", choices.chosen, a.claim.Attempt)
			}
			switch a.outcome {
			case carawaycart.OutcomeAnswered:
				answered++
			case carawaycart.OutcomeNotRun:
				refused++
			}
		}
		if runs > 1 {
			t.Fatalf("choices %v: the request ran %d times", choices.chosen, runs)
		}
		prefix = choices.next()
	}
	if answered == 0 || refused == 0 {
		t.Errorf("got %d answered and %d refused attempts, want some of both", answered, refused)
	}
	t.Logf("%d runs of the model, %d attempts answered, %d refused", modelRuns, answered, refused)
}
