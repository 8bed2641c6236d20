package control

import (
	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/internal/counters"
)

// tally counts the kept endpoints by state.
type tally struct {
	kept    int64
	byState map[carawaycart.EndpointState]int64
}

func newTally() *tally { return &tally{byState: make(map[carawaycart.EndpointState]int64)} }

func (t *tally) add(e *board.Entry) {
	t.kept++
	t.byState[e.Status().State]++
}

func (t *tally) publish(c *counters.Counters) {
	c.EndpointsKept.Update(t.kept)
	c.EndpointsSilent.Update(t.byState[carawaycart.EndpointSilent])
	c.EndpointsCold.Update(t.byState[carawaycart.EndpointCold] + t.byState[carawaycart.EndpointUnknown])
	c.EndpointsDead.Update(t.byState[carawaycart.EndpointDead])
}
