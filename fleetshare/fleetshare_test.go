package fleetshare

import (
	"fmt"
	"testing"
)

// TestEachPlaceHasOneOwner guards against places that two routers of one view use, or none.
func TestEachPlaceHasOneOwner(t *testing.T) {
	for _, n := range []int{1, 4, 103, 360} {
		var routers []string
		for i := range n {
			routers = append(routers, fmt.Sprintf("router-%d", i))
		}
		const places = 50
		owners := make(map[int]int)
		for _, self := range routers {
			for _, place := range NewFleet(self, routers).Owned("endpoint", places) {
				owners[place]++
			}
		}
		for place := range places {
			if owners[place] != 1 {
				t.Errorf("%d routers: place %d has %d owners", n, place, owners[place])
			}
		}
		if got := NewFleet("another", routers).Owned("endpoint", places); len(got) > 0 {
			t.Errorf("a router that isn't in the fleet owns %v", got)
		}
	}
}
