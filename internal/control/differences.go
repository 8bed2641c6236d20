package control

import (
	"sync"

	"carawaycart"
	"carawaycart/message"
)

// persistent is how many probes in a row must show a difference before it
// counts as more than news on its way.
const persistent = 2

// differences counts, by neighbour, the probes in a row whose digests differed.
type differences struct {
	mu       sync.Mutex
	members  map[carawaycart.InstanceID]int
	statuses map[carawaycart.InstanceID]int
}

func newDifferences() *differences {
	return &differences{
		members:  make(map[carawaycart.InstanceID]int),
		statuses: make(map[carawaycart.InstanceID]int),
	}
}

// note takes in the answer of neighbour id to a probe.
func (d *differences) note(id carawaycart.InstanceID, n *News, answer *message.Exchange) {
	members, statuses := n.Differs(answer)
	d.mu.Lock()
	defer d.mu.Unlock()
	count(d.members, id, members)
	count(d.statuses, id, statuses)
}

func count(counts map[carawaycart.InstanceID]int, id carawaycart.InstanceID, differs bool) {
	if differs {
		counts[id]++
	} else {
		delete(counts, id)
	}
}

// wants reports what to ask neighbour id for.
func (d *differences) wants(id carawaycart.InstanceID) (members, statuses bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members[id] >= persistent, d.statuses[id] >= persistent
}
