package claim

import (
	"testing"
	"time"

	pb "jackdawswitch/api/jackdawv1"
)

// TestAttemptOfAnotherHomeIsTheBill guards against billing a crashed attempt
// instead of the one that completed. The first attempt crashed its endpoint under
// this home; the next one was allowed by another home after the key had moved,
// so this table sees only the agent's receipt of it.
func TestAttemptOfAnotherHomeIsTheBill(t *testing.T) {
	table := New(DefaultPolicy())
	key := Key{Workspace: "ws", Name: "k"}
	slot := Slot{Grant: "g", Sequence: 18}
	req := Request{Key: key, Repeatable: true, Deadline: testStart.Add(time.Minute)}
	if decision, _ := table.Begin(testStart, req, "own"); decision != DecisionOpen {
		t.Fatalf("Begin returned %v, want the key to be new", decision)
	}
	view := table.Open(testStart, key, Reservation{Slot: slot, Credits: 60, Attempt: "own"})
	if !table.Dispatch(testStart, key, view.Attempt, Agent{VM: "agent-1"}) {
		t.Fatal("Dispatch rejected the first attempt")
	}
	table.Finish(testStart, Outcome{
		Key: key, Slot: slot, Attempt: view.Attempt, Crashed: true,
		RunState: pb.RunState_RUN_STATE_PARTIAL, Usage: &pb.Usage{},
	}, "next")
	effect := table.Finish(testStart, Outcome{
		Key: key, Slot: slot, Attempt: "of another home", FromAgent: true,
		RunState: pb.RunState_RUN_STATE_COMPLETED, Usage: &pb.Usage{Credits: 50},
	}, "unused")
	if got := effect.Receipt.GetUsage().GetCredits(); got != 50 {
		t.Errorf("slot was billed %d credits, want 50", got)
	}
}
