package peer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"jackdawswitch/vmlist"
)

// TestSeededFaults injects random network partitions, crashes, restarts and VM losses.
// It checks that no running incarnation is reported as dead, and that all routers agree
// on the homes after the faults end.
func TestSeededFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, rand.New(rand.NewPCG(seed, 7))) })
		})
	}
}

func runRandomFaults(t *testing.T, r *rand.Rand) {
	const routers = 5
	f := newFleet(t, routers)
	incarnations := make(map[string]uint64)
	for vm := range f.peers {
		incarnations[vm] = 1
	}
	randomRouter := func() string { return fmt.Sprint("router-", r.IntN(routers)) }
	for range 80 {
		vm, other := randomRouter(), randomRouter()
		switch r.IntN(5) {
		case 0:
			f.network.Block(vm, other)
		case 1:
			f.network.Unblock(vm, other)
		case 2:
			if f.peers[vm] != nil && len(f.peers) > 2 {
				f.crash(vm)
				// In half of the cases the VM is lost with its process.
				if r.IntN(2) == 0 {
					f.list.remove(vm)
				}
			}
		case 3:
			if f.peers[vm] == nil {
				incarnations[vm]++
				f.list.set(vm, vmlist.StateLive)
				f.start(vm, incarnations[vm])
			}
		case 4:
			time.Sleep(time.Duration(r.IntN(40)) * time.Second)
		}
		time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
		for _, p := range f.peers {
			for vm := range f.peers {
				if p.Dead(vm, incarnations[vm]) {
					t.Fatalf("%s is running but reported as dead", vm)
				}
			}
		}
	}
	for i := range routers {
		for j := range routers {
			f.network.Unblock(fmt.Sprint("router-", i), fmt.Sprint("router-", j))
		}
	}
	time.Sleep(2 * time.Minute)
	f.mustAgree("after the faults")
}
