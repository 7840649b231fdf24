package home

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"time"

	pb "jackdawswitch/api/jackdawv1"
)

// offerReceipts lets all agents offer their receipts to both homes.
func (c *chaos) offerReceipts() {
	for _, agent := range c.fleet.agents {
		var receipts []*pb.Receipt
		for _, known := range agent.keys() {
			receipts = append(receipts, known.GetReceipt())
		}
		for _, vm := range []string{"h1", "h2"} {
			_, _ = unreliableCall(c, func() (*pb.OfferReceiptsResponse, error) {
				return c.home(vm).OfferReceipts(c.t.Context(), &pb.OfferReceiptsRequest{Receipts: receipts})
			})
		}
	}
}

// injectFaults causes one fault after the other until ctx ends.
func (c *chaos) injectFaults(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(2+c.draw(8)) * time.Second)
		switch c.draw(7) {
		case 6:
			c.handOverAndRestart()
		case 0:
			c.startHome("h" + strconv.Itoa(1+c.draw(2)))
		case 1:
			c.fleet.agents["a"+strconv.Itoa(1+c.draw(3))].restart()
		case 2:
			c.setTableFaults(100)
			time.Sleep(time.Duration(c.draw(15)) * time.Second)
			c.setTableFaults(10)
		case 3:
			c.changeHomeViews()
		case 4:
			c.toggleAgentLink()
		default:
			c.offerReceipts()
		}
	}
}

// handOverAndRestart hands a home's partitions over as in a graceful shutdown, and
// starts its next incarnation.
func (c *chaos) handOverAndRestart() {
	vm, other := "h1", "h2"
	if c.draw(2) == 0 {
		vm, other = other, vm
	}
	c.fleet.mu.Lock()
	c.fleet.homeOf[other] = other
	c.fleet.mu.Unlock()
	s := c.home(vm)
	ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
	defer cancel()
	s.HandOverAll(ctx, func(*pb.Partition) (string, bool) { return other, true })
	c.startHome(vm)
}

// changeHomeViews changes which process each home considers the home. Both may
// consider themselves home, as happens after a process was paused.
func (c *chaos) changeHomeViews() {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	for _, vm := range []string{"h1", "h2"} {
		c.fleet.homeOf[vm] = []string{"h1", "h2", vm}[c.draw(3)]
	}
}

// toggleAgentLink blocks or unblocks the link from a random home to a random agent.
func (c *chaos) toggleAgentLink() {
	link := fmt.Sprintf("h%d>a%d", 1+c.draw(2), 1+c.draw(3))
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	c.fleet.blockedLinks[link] = !c.fleet.blockedLinks[link]
}

// setTableFaults sets the share of table calls that fail, in percent.
func (c *chaos) setTableFaults(percent int) {
	c.fleet.table.mu.Lock()
	defer c.fleet.table.mu.Unlock()
	c.fleet.table.fault = func(string) fault {
		if c.draw(100) >= percent {
			return faultNone
		}
		return []fault{faultDropCall, faultLoseResponse, faultDelayCall}[c.draw(3)]
	}
}

// checkInvariants checks, after all faults have ended, that keys that are not
// repeatable ran at most once and are billed in one slot, and that no slot that
// ran is settled as not run.
func (c *chaos) checkInvariants() {
	runs := make(map[string]int)
	keyBySlot := make(map[string]string)
	for _, agent := range c.fleet.agents {
		for key, n := range agent.runs {
			runs[key] += n
		}
		maps.Copy(keyBySlot, agent.keyBySlot)
	}
	for key, n := range runs {
		c.ran += n
		if !chaosRepeatable(key) && n > 1 {
			c.t.Errorf("%s ran %d times", key, n)
		}
	}
	bills := make(map[string]string)
	for _, credit := range c.credits {
		for slot, receipt := range credit.settled {
			key := receipt.GetKey()
			if receipt.GetRunState() != pb.RunState_RUN_STATE_NOT_RUN {
				if other, ok := bills[key]; ok && other != slot && !chaosRepeatable(key) {
					c.t.Errorf("key %s is billed in slots %s and %s", key, other, slot)
				}
				bills[key] = slot
			} else if keyBySlot[slot] != "" {
				c.t.Errorf("slot %s ran, but is settled as not run", slot)
			}
		}
	}
	c.checkSettled(keyBySlot)
}

// checkSettled checks that each slot of a grant that a running home holds is
// settled, by this home or by the one that handed the grant over.
func (c *chaos) checkSettled(keyBySlot map[string]string) {
	settled := make(map[string]bool)
	for _, credit := range c.credits {
		for slot := range credit.settled {
			settled[slot] = true
		}
	}
	for _, vm := range []string{"h1", "h2"} {
		s := c.home(vm)
		credit := c.credits[vm+"."+strconv.FormatUint(s.opts.Self.GetIncarnation(), 10)]
		for _, slots := range credit.held {
			for _, slot := range slots {
				c.slots++
				if !settled[slot] {
					c.t.Errorf("slot %s (ran for %q) is not settled at %s", slot, keyBySlot[slot], vm)
					for _, h := range []string{"h1", "h2"} {
						for _, r := range c.home(h).keyTable.Export("ws", 0) {
							if slotName(r.GetSlot()) == slot {
								c.t.Logf("record of the slot at %s: %v", h, r)
							}
						}
					}
				}
			}
		}
	}
}

// quiesce ends all faults and gives the homes time to receive all outcomes.
func (c *chaos) quiesce() {
	c.setTableFaults(0)
	c.mu.Lock()
	c.failPercent = 0
	c.mu.Unlock()
	c.fleet.mu.Lock()
	clear(c.fleet.blockedLinks)
	c.fleet.mu.Unlock()
	for range 20 {
		c.offerReceipts()
		time.Sleep(20 * time.Second)
	}
}
