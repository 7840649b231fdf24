package peer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"jackdawswitch/vmlist"
)

// TestSeededFaults plays random cuts, crashes, restarts and lost VMs, and checks
// that nobody who lives is called dead, and that all agree once it is over.
func TestSeededFaults(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playFaults(t, rand.New(rand.NewPCG(seed, 7))) })
		})
	}
}

func playFaults(t *testing.T, r *rand.Rand) {
	const routers = 5
	f := newFleet(t, routers)
	incarnations := make(map[string]uint64)
	for vm := range f.peers {
		incarnations[vm] = 1
	}
	name := func() string { return fmt.Sprint("router-", r.IntN(routers)) }
	for range 80 {
		vm, other := name(), name()
		switch r.IntN(5) {
		case 0:
			f.network.Cut(vm, other)
		case 1:
			f.network.Heal(vm, other)
		case 2:
			if f.peers[vm] != nil && len(f.peers) > 2 {
				f.crash(vm)
				// Sometimes the VM goes with its process.
				if r.IntN(2) == 0 {
					f.list.remove(vm)
				}
			}
		case 3:
			if f.peers[vm] == nil {
				incarnations[vm]++
				f.list.set(vm, vmlist.Live)
				f.start(vm, incarnations[vm])
			}
		case 4:
			time.Sleep(time.Duration(r.IntN(40)) * time.Second)
		}
		time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
		for _, p := range f.peers {
			for vm := range f.peers {
				if p.Dead(vm, incarnations[vm]) {
					t.Fatalf("%s lives and is called dead", vm)
				}
			}
		}
	}
	for i := range routers {
		for j := range routers {
			f.network.Heal(fmt.Sprint("router-", i), fmt.Sprint("router-", j))
		}
	}
	time.Sleep(2 * time.Minute)
	f.mustAgree("after the faults")
}
