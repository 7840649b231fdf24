package home

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
)

// TestHandOverOfAWorkspaceWithTwoNextHomes checks that the grants of a workspace
// whose partitions go to two next homes stay in the process until its last
// partition is handed over, and that only one process receives them. Handed over
// earlier, they would be missing for the partitions still served.
func TestHandOverOfAWorkspaceWithTwoNextHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		fleet.doc.Register.Workspaces[0].Partitions = 2
		s1, credit1 := fleet.start(t, "h1", 1)
		_, credit2 := fleet.start(t, "h2", 1)
		_, credit3 := fleet.start(t, "h3", 1)
		other := request("k1", "body", true)
		other.Partition.Index = 1
		reserve(t, s1, request("k0", "body", true))
		fleet.homeOf["h2"] = "h1"
		fleet.homeOf["h3"] = "h1"
		time.AfterFunc(time.Second, func() {
			fleet.mu.Lock()
			defer fleet.mu.Unlock()
			fleet.homeOf["h2"], fleet.homeOf["h3"] = "h2", "h3"
		})
		time.AfterFunc(500*time.Millisecond, func() {
			if len(credit1.held) != 1 {
				t.Error("the grant was handed over before the last partition")
			}
			reserve(t, s1, other)
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		report := s1.HandOverAll(ctx, func(p *pb.Partition) (string, bool) {
			return []string{"h2", "h3"}[p.GetIndex()], true
		})
		if report.Partitions != 2 || report.Grants != 1 || report.Keys != 2 {
			t.Errorf("hand-over report %+v, want 2 partitions, 1 grant and 2 keys", report)
		}
		if len(credit1.held) != 0 || len(credit2.held) != 0 || len(credit3.held) != 1 {
			t.Errorf("h1, h2 and h3 hold %d, %d and %d grants, want 0, 0 and 1", len(credit1.held), len(credit2.held), len(credit3.held))
		}
	})
}

// TestHandOverKeepsGrantsForThePartitionThatStays checks that a workspace keeps its
// grants while one of its partitions has no next home.
func TestHandOverKeepsGrantsForThePartitionThatStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		fleet.doc.Register.Workspaces[0].Partitions = 2
		s1, credit1 := fleet.start(t, "h1", 1)
		fleet.start(t, "h2", 1)
		reserve(t, s1, request("k0", "body", true))
		report := s1.HandOverAll(t.Context(), func(p *pb.Partition) (string, bool) { return "h2", p.GetIndex() == 0 })
		if report.Partitions != 1 || report.Grants != 0 || len(credit1.held) != 1 {
			t.Errorf("hand-over report %+v and %d grants held, want 1 partition, no grant handed over and 1 held", report, len(credit1.held))
		}
	})
}

// TestNotRunAfterTheHomeDied checks that a home that replaces a dead one settles
// the slot of a request that did not run, unless an earlier attempt in the slot
// may have run.
func TestNotRunAfterTheHomeDied(t *testing.T) {
	for _, mayHaveRun := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newFakeFleet()
			agent := newFakeAgent("a1")
			fleet.agents["a1"] = agent
			s1, _ := fleet.start(t, "h1", 1)
			req := request("k", "body", true)
			got := reserve(t, s1, req).GetReserved()
			agent.known[got.GetAttempt()] = &pb.KnownAttempt{
				Receipt: &pb.Receipt{
					Slot: got.GetSlot(), Partition: req.GetPartition(), Lot: got.GetLot(), Key: req.GetKey(),
					Attempt: got.GetAttempt(), Reserved: got.GetCredits(),
				},
				BodyHash: req.GetBodyHash(), Repeatable: true, Credits: got.GetCredits(),
			}
			s2, credit2 := fleet.start(t, "h2", 1)
			fleet.setHome("h2")
			if res := reserve(t, s2, req); res.GetExisting() == nil {
				t.Fatalf("the next home did not return the existing attempt: %v", res)
			}
			first := pb.RunState_RUN_STATE_NOT_RUN
			if mayHaveRun {
				first = pb.RunState_RUN_STATE_UNKNOWN
			}
			next := finish(t, s2, req, got, got.GetAttempt(), first).GetNextAttempt()
			finish(t, s2, req, got, next, pb.RunState_RUN_STATE_NOT_RUN)
			receipt := credit2.settled[slotName(got.GetSlot())]
			if settled := receipt != nil; settled == mayHaveRun {
				t.Errorf("earlier attempt may have run: %v; credit received the receipt %v", mayHaveRun, receipt)
			}
			if receipt != nil && (receipt.GetReserved() != got.GetCredits() || receipt.GetRunState() != pb.RunState_RUN_STATE_NOT_RUN) {
				t.Errorf("credit received the receipt %v, want not run with the whole reservation", receipt)
			}
		})
	}
}

// TestDispatchConfirmsTheSlot checks that a slot that the credit service does not
// confirm for an agent is not sent to it, and may be sent to another agent.
func TestDispatchConfirmsTheSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFakeFleet()
		s, credit := fleet.start(t, "h1", 1)
		credit.rejectedAgentVM = "young"
		rejectedAgent, acceptedAgent := newFakeAgent("young"), newFakeAgent("old")
		req := request("k", "body", true)
		got := reserve(t, s, req).GetReserved()
		if dispatch(t, s, req, got, rejectedAgent) || !dispatch(t, s, req, got, acceptedAgent) {
			t.Error("Dispatch accepted the agent that credit refused, or refused the other one")
		}
	})
}
