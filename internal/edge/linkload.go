package edge

import (
	"sync"
	"time"
)

const (
	// narrowLink is the capacity in bytes per second of the narrowest link that an
	// instance may have, 10 Mbit/s.
	narrowLink = 10e6 / 8
	// longLoad is the time for which a transfer occupies a link before it counts as
	// delaying other traffic. Probes wait for 150 ms.
	longLoad = 50 * time.Millisecond
)

// linkLoad estimates for how long the transfers of an instance to its peers occupy its
// link. A change that does not fit into a datagram is fetched by all instances of a zone
// from the one that has read it: 46 replies of 60 KB take over 2 s. A linkLoad is safe for
// concurrent use; the zero value is a free link.
type linkLoad struct {
	mu        sync.Mutex
	busyUntil time.Time
}

// add records that a transfer of the given number of bytes begins at now.
func (l *linkLoad) add(bytes int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busyUntil = laterTime(l.busyUntil, now).Add(time.Duration(float64(bytes) / narrowLink * float64(time.Second)))
}

// full reports whether the transfers delay other traffic at now.
func (l *linkLoad) full(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.busyUntil.Sub(now) > longLoad
}
