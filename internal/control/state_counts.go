package control

import (
	"carawaycart"
	"carawaycart/core/board"
	"carawaycart/internal/counters"
)

// stateCounts counts the endpoints that the instance is keeper of, by state.
type stateCounts struct {
	total   int64
	byState map[carawaycart.EndpointState]int64
}

func newStateCounts() *stateCounts {
	return &stateCounts{byState: make(map[carawaycart.EndpointState]int64)}
}

func (t *stateCounts) add(e *board.Entry) {
	t.total++
	t.byState[e.Status().State]++
}

func (t *stateCounts) publishMetrics(c *counters.Counters) {
	c.EndpointsKept.Update(t.total)
	c.EndpointsSilent.Update(t.byState[carawaycart.EndpointSilent])
	c.EndpointsCold.Update(t.byState[carawaycart.EndpointCold] + t.byState[carawaycart.EndpointUnknown])
	c.EndpointsDead.Update(t.byState[carawaycart.EndpointDead])
}
