package claim_test

import (
	"testing"
	"time"

	"carawaycart"
	"carawaycart/core/claim"
)

// The walk takes three attempts of one order, which reach the keeper of its key
// through two entries, through every order of their steps, with every loss of
// one copy to the replica and a crash of the keeper before any step. After the
// crash the replica is keeper, without a replica of its own. The second entry may
// see other members than the first, and take the replica for the keeper.

// chooser replays a sequence of choices and lists those that were open.
type chooser struct {
	fixed []int
	taken []int
	open  []int
}

// choose returns a number below n.
func (c *chooser) choose(n int) int {
	i := len(c.taken)
	pick := 0
	if i < len(c.fixed) {
		pick = c.fixed[i]
	}
	c.taken = append(c.taken, pick)
	c.open = append(c.open, n)
	return pick
}

// next returns the sequence after the one taken, or nil after the last.
func (c *chooser) next() []int {
	for i := len(c.taken) - 1; i >= 0; i-- {
		if c.taken[i]+1 < c.open[i] {
			return append(append([]int(nil), c.taken[:i]...), c.taken[i]+1)
		}
	}
	return nil
}

type stage int

const (
	beginning stage = iota
	copying
	running
	finishing
	ended
)

// walker is one attempt on its way.
type walker struct {
	claim   carawaycart.Claim
	split   bool         // takes the replica for the keeper
	keeper  *claim.Table // that took the claim
	replica *claim.Table // to copy it to, nil if there is none
	stage   stage
	ran     bool
	told    carawaycart.Outcome
}

// world is the state of one walk.
type world struct {
	choices *chooser
	keeper  *claim.Table
	replica *claim.Table // nil after the crash
	crashed bool
	lossy   bool // a copy may still be lost
	gone    map[*claim.Table]bool
	late    []carawaycart.Claim // news for the replica that is still on its way
	now     time.Time
}

// step takes w one step on.
func (o *world) step(w *walker) {
	if w.stage > beginning && w.stage < running && o.gone[w.keeper] {
		// The entry hears nothing from the keeper and has sent nothing.
		w.told, w.stage = carawaycart.OutcomeNotRun, ended
		o.keeper.Merge(in(w.claim, carawaycart.ClaimNotRun), o.now)
		return
	}
	switch w.stage {
	case beginning:
		o.begin(w)
	case copying:
		o.copy(w)
	case running:
		w.ran = true
		w.stage = finishing
	case finishing:
		answered := in(w.claim, carawaycart.ClaimAnswered)
		o.keeper.Merge(answered, o.now)
		if o.replica != nil {
			o.late = append(o.late, answered)
		}
		w.told, w.stage = carawaycart.OutcomeAnswered, ended
	}
}

func (o *world) begin(w *walker) {
	w.keeper, w.replica = o.keeper, o.replica
	if w.split && !o.crashed {
		w.keeper, w.replica = o.replica, o.keeper
	}
	verdict, held := w.keeper.Begin(w.claim, o.now)
	switch verdict {
	case claim.Run:
		w.stage = copying
	case claim.Known:
		w.told, w.stage = carawaycart.OutcomeUnknown, ended
		if held.State == carawaycart.ClaimAnswered {
			w.told = carawaycart.OutcomeAnswered
		}
	default:
		w.told, w.stage = carawaycart.OutcomeNotRun, ended
	}
}

// copy copies the claim to the replica; the copy may be lost before or after it
// was taken in.
func (o *world) copy(w *walker) {
	const (
		delivered = iota
		lostBefore
		lostAfter
		fates
	)
	if w.replica == nil {
		w.stage = running
		return
	}
	fate := delivered
	if o.gone[w.replica] {
		fate = lostBefore
	} else if o.lossy {
		fate = o.choices.choose(fates)
	}
	conflict := false
	var held carawaycart.Claim
	if fate != lostBefore {
		held, conflict = w.replica.Merge(in(w.claim, carawaycart.ClaimPending), o.now)
	}
	if fate == delivered && !conflict {
		w.stage = running
		return
	}
	o.lossy = o.lossy && fate == delivered
	refused := in(w.claim, carawaycart.ClaimNotRun)
	w.keeper.Merge(refused, o.now)
	o.late = append(o.late, refused)
	w.stage = ended
	w.told = carawaycart.OutcomeNotRun
	if fate == delivered {
		w.keeper.Merge(held, o.now)
		w.told = carawaycart.OutcomeUnknown
	}
}

// crash takes the keeper away; the replica takes over.
func (o *world) crash() {
	o.gone[o.keeper] = true
	o.keeper, o.replica, o.crashed = o.replica, nil, true
}

// deliver brings the oldest news to the tables that are left.
func (o *world) deliver() {
	for _, t := range []*claim.Table{o.keeper, o.replica} {
		if t != nil {
			t.Merge(o.late[0], o.now)
		}
	}
	o.late = o.late[1:]
}

func walk(choices *chooser) []*walker {
	o := &world{
		choices: choices, keeper: claim.NewTable(), replica: claim.NewTable(), lossy: true,
		gone: make(map[*claim.Table]bool), now: start,
	}
	walkers := []*walker{{claim: attempt("a")}, {claim: attempt("b")}, {claim: attempt("c")}}
	walkers[1].claim.Entry = "i2"
	walkers[1].split = choices.choose(2) == 1
	for {
		var moves []func()
		for _, w := range walkers {
			if w.stage != ended {
				moves = append(moves, func() { o.step(w) })
			}
		}
		if len(moves) == 0 {
			return walkers
		}
		if !o.crashed {
			moves = append(moves, o.crash)
		}
		if len(o.late) > 0 {
			moves = append(moves, o.deliver)
		}
		moves[choices.choose(len(moves))]()
	}
}

func TestWalkOverTheClaimProtocol(t *testing.T) {
	walks, answered, refused := 0, 0, 0
	for fixed := []int{}; fixed != nil; {
		choices := &chooser{fixed: fixed}
		walkers := walk(choices)
		walks++
		runs := 0
		for _, w := range walkers {
			if w.ran {
				runs++
			}
			if w.told == carawaycart.OutcomeNotRun && w.ran {
				t.Fatalf("choices %v: attempt %s was refused as not run, and ran", choices.taken, w.claim.Attempt)
			}
			switch w.told {
			case carawaycart.OutcomeAnswered:
				answered++
			case carawaycart.OutcomeNotRun:
				refused++
			}
		}
		if runs > 1 {
			t.Fatalf("choices %v: the order ran %d times", choices.taken, runs)
		}
		fixed = choices.next()
	}
	if answered == 0 || refused == 0 {
		t.Errorf("got %d answered and %d refused attempts, so the walk shows too little", answered, refused)
	}
	t.Logf("%d walks, %d attempts answered, %d refused", walks, answered, refused)
}
