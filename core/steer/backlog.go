package steer

import (
	"sync"
	"time"
)

const (
	// maxBacklogPackets limits the packets in a Backlog. An instance that starts under
	// load receives fewer before it has a table.
	maxBacklogPackets = 256
	// maxBacklogAge is the age above which a packet is discarded. Callers send the last
	// copy of a first packet after 600 ms.
	maxBacklogAge = 600 * time.Millisecond
)

// Backlog holds the packets that arrive before the router of a starting instance has a
// table. When all instances start at once, no other can forward them, and a caller sends
// its next copy only after 200, 400 or 800 ms, which may be too late. A Backlog is safe
// for concurrent use.
type Backlog struct {
	mu        sync.Mutex
	packets   []backlogPacket // ordered by receivedAt
	discarded int             // packets that were discarded because the backlog was full
	taken     bool            // whether Take was called
}

// HeldPacket is a packet that was held in a Backlog.
type HeldPacket struct {
	Data   []byte
	Waited bool // whether it was held until its caller may have sent another copy
}

// backlogPacket is a packet that was received at receivedAt.
type backlogPacket struct {
	data       []byte
	receivedAt time.Time
}

// Add holds a copy of data, a packet that was received at now, and reports whether it
// did. If the backlog is full, it discards the oldest packet, whose caller is the closest
// to giving up. After Take, it holds nothing.
func (b *Backlog) Add(data []byte, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.taken {
		return false
	}
	if len(b.packets) >= maxBacklogPackets {
		b.packets = b.packets[1:]
		b.discarded++
	}
	b.packets = append(b.packets, backlogPacket{data: append([]byte(nil), data...), receivedAt: now})
	return true
}

// Take ends the backlog and returns its packets in the order of their arrival, except
// those that are older than maxBacklogAge at now. It also returns the number of packets
// that were discarded for their age or because the backlog was full.
func (b *Backlog) Take(now time.Time) (packets []HeldPacket, discarded int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.packets {
		if age := now.Sub(p.receivedAt); age <= maxBacklogAge {
			packets = append(packets, HeldPacket{Data: p.data, Waited: age >= minResendInterval})
		}
	}
	discarded = b.discarded + len(b.packets) - len(packets)
	b.packets, b.discarded, b.taken = nil, 0, true
	return packets, discarded
}
