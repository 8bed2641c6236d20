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

func (sc *stateCounts) add(e *board.Entry) {
	sc.total++
	sc.byState[e.Status().State]++
}

func (sc *stateCounts) publishMetrics(c *counters.Counters) {
	c.EndpointsKept.Update(sc.total)
	c.EndpointsSilent.Update(sc.byState[carawaycart.EndpointSilent])
	c.EndpointsCold.Update(sc.byState[carawaycart.EndpointCold] + sc.byState[carawaycart.EndpointUnknown])
	c.EndpointsDead.Update(sc.byState[carawaycart.EndpointDead])
}
