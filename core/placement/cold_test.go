package placement_test

import (
	"fmt"
	"testing"

	"carawaycart/core/placement"
)

// Guards against instances that together exceed half of the limit, or that never use
// all of it because their shares are rounded down.
func TestColdSharesAddUpToHalfTheLimit(t *testing.T) {
	for _, test := range []struct {
		limit   float64
		members int
		want    int // total over all members
	}{
		{11, 1, 5}, {11, 3, 5}, {11, 19, 5}, {5, 140, 2}, {1, 4, 0}, {0, 4, 0}, {200, 14, 100},
	} {
		sum := 0
		for rank := range test.members {
			sum += placement.NewColdShare(test.limit, test.members, rank).FlowsPerSecond
		}
		if sum != test.want {
			t.Errorf("limit %v over %d members: got %d flows in total, want %d", test.limit, test.members, sum, test.want)
		}
	}
}

func ExampleNewColdShare() {
	for rank := range 3 {
		fmt.Println(placement.NewColdShare(11, 3, rank).FlowsPerSecond)
	}
	// Output:
	// 2
	// 2
	// 1
}
