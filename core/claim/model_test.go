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
// one copy to the replica or of the reply to it, and with at most one crash, of the
// keeper, before any step. After the crash the replica is the keeper and has no
// replica. The second entry instance may have a different view of the members, in
// which the replica is the keeper until the crash.

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

// stage is the next step of an attempt.
type stage int

// The stages of an attempt, in their order.
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
	keeper          *claim.Table // table of the keeper that received the claim
	replica         *claim.Table // table that receives a copy of the claim; nil if there is none
	stage           stage
	ran             bool                // the request was run by an endpoint
	outcome         carawaycart.Outcome // outcome returned to the caller
}

// model is the state of the modelled system. A table stands for the instance that
// holds it.
type model struct {
	choices     *choiceSequence
	keeper      *claim.Table
	replica     *claim.Table // nil after the crash
	crashed     bool         // the first keeper has crashed
	lossAllowed bool         // no copy or reply has been lost yet
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

// begin sends the claim of attempt a to the keeper and applies the verdict.
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
// may be lost. The keeper admits the attempt only if the replica confirms the copy.
func (m *model) copy(a *attemptState) {
	const (
		delivered = iota
		copyLost
		replyLost
		deliveryCount
	)
	if a.replica == nil {
		a.stage = stageRun
		return
	}
	delivery := delivered
	if m.failed[a.replica] {
		delivery = copyLost
	} else if m.lossAllowed {
		delivery = m.choices.choose(deliveryCount)
	}
	conflict := false
	var held carawaycart.Claim
	if delivery != copyLost {
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
		// The replica holds the claim of another attempt, which may have run.
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

// runModel runs the model with the given choices until all attempts have ended, and
// returns the attempts.
func runModel(choices *choiceSequence) []*attemptState {
	m := &model{
		choices: choices, keeper: claim.NewTable(), replica: claim.NewTable(), lossAllowed: true,
		failed: make(map[*claim.Table]bool), now: start,
	}
	attempts := []*attemptState{{claim: attempt("a")}, {claim: attempt("b")}, {claim: attempt("c")}}
	attempts[1].claim.EntryInstance = "i2"
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

// Guards against a request that runs twice, and against an attempt that is reported
// as not run although it ran.
func TestClaimProtocolInAllInterleavings(t *testing.T) {
	modelRuns, answered, notRun := 0, 0, 0
	for prefix := []int{}; prefix != nil; {
		choices := &choiceSequence{prefix: prefix}
		attempts := runModel(choices)
		modelRuns++
		requestRuns := 0
		for _, a := range attempts {
			if a.ran {
				requestRuns++
			}
			if a.outcome == carawaycart.OutcomeNotRun && a.ran {
				t.Fatalf("choices %v: attempt %s was reported as not run but ran", choices.chosen, a.claim.Attempt)
			}
			switch a.outcome {
			case carawaycart.OutcomeAnswered:
				answered++
			case carawaycart.OutcomeNotRun:
				notRun++
			}
		}
		if requestRuns > 1 {
			t.Fatalf("choices %v: the request ran %d times", choices.chosen, requestRuns)
		}
		prefix = choices.next()
	}
	if answered == 0 || notRun == 0 {
		t.Errorf("got %d attempts answered and %d not run, want some of both", answered, notRun)
	}
	t.Logf("%d runs of the model, %d attempts answered, %d not run", modelRuns, answered, notRun)
}
