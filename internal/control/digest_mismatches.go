package control

import (
	"sync"

	"carawaycart"
	"carawaycart/message"
)

// mismatchThreshold is the number of consecutive probes with differing digests
// after which full state is requested. A single mismatch may be due to an
// update that is still in transit.
const mismatchThreshold = 2

// digestMismatches counts, for each neighbour, the consecutive probes whose
// digests differed.
type digestMismatches struct {
	mu       sync.Mutex
	members  map[carawaycart.InstanceID]int // mismatches of the member digest
	statuses map[carawaycart.InstanceID]int // mismatches of the status digest
}

func newDigestMismatches() *digestMismatches {
	return &digestMismatches{
		members:  make(map[carawaycart.InstanceID]int),
		statuses: make(map[carawaycart.InstanceID]int),
	}
}

// record updates the counts with the answer of neighbour id to a probe.
func (d *digestMismatches) record(id carawaycart.InstanceID, u *UpdateReceiver, answer *message.Exchange) {
	members, statuses := u.DigestsDiffer(answer)
	d.mu.Lock()
	defer d.mu.Unlock()
	countMismatch(d.members, id, members)
	countMismatch(d.statuses, id, statuses)
}

func countMismatch(counts map[carawaycart.InstanceID]int, id carawaycart.InstanceID, differs bool) {
	if differs {
		counts[id]++
	} else {
		delete(counts, id)
	}
}

// stateToRequest reports which state to request from neighbour id.
func (d *digestMismatches) stateToRequest(id carawaycart.InstanceID) (members, statuses bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members[id] >= mismatchThreshold, d.statuses[id] >= mismatchThreshold
}
