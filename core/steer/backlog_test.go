package steer_test

import (
	"encoding/binary"
	"testing"
	"time"

	"carawaycart/core/steer"
)

// Load pattern: all instances lost power and start at once. While one reads the store,
// for 180 ms, it receives the copies that callers send after 0, 200 and 600 ms, at 20
// times the usual rate. Guards against packets that are lost, delivered out of order, or
// delivered when their callers have given up.
func TestBacklogWhileStarting(t *testing.T) {
	for _, test := range []struct {
		name               string
		packets            int
		every, start       time.Duration // time between packets, and until the table is there
		wantFirst, wantLen int
	}{
		{"usual start", 24, 7500 * time.Microsecond, 180 * time.Millisecond, 0, 24},
		{"slow start", 200, 10 * time.Millisecond, 2 * time.Second, 140, 60},
		{"more packets than fit", 1000, 100 * time.Microsecond, 100 * time.Millisecond, 744, 256},
		{"store down for long", 100, 10 * time.Millisecond, 20 * time.Second, 0, 0},
	} {
		var b steer.Backlog
		data := make([]byte, 4)
		for n := range test.packets {
			binary.BigEndian.PutUint32(data, uint32(n))
			if !b.Add(data, start.Add(time.Duration(n)*test.every)) {
				t.Fatalf("%s: packet %d was not held", test.name, n)
			}
		}
		got, discarded := b.Take(start.Add(test.start))
		if len(got) != test.wantLen {
			t.Errorf("%s: got %d packets, want %d", test.name, len(got), test.wantLen)
		}
		if want := test.packets - test.wantLen; discarded != want {
			t.Errorf("%s: got %d packets discarded, want %d", test.name, discarded, want)
		}
		for i, p := range got {
			n := binary.BigEndian.Uint32(p.Data)
			if n != uint32(test.wantFirst+i) {
				t.Fatalf("%s: got packet %d at %d, want %d", test.name, n, i, test.wantFirst+i)
			}
			if age := test.start - time.Duration(n)*test.every; p.Waited != (age >= 150*time.Millisecond) {
				t.Errorf("%s: got packet %d waited %t after %s", test.name, n, p.Waited, age)
			}
		}
		got, discarded = b.Take(start.Add(test.start))
		if b.Add(data, start.Add(test.start)) || len(got) != 0 || discarded != 0 {
			t.Errorf("%s: a packet was held after the table was there", test.name)
		}
	}
}
