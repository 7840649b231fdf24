package attempt_test

import (
	"testing"
	"time"

	"jackdawswitch/agent/attempt"
	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/refusal"
)

// Guards against running a request twice: a router that was paused sends an
// attempt with a superseded claim just before its deadline, when the record of
// the newer claim's attempt, which had a short deadline, is already dropped.
// The claim itself must still be known.
func TestProofPausedHolderOfAnOlderClaimIsRefused(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	registry := attempt.New(attempt.Options{Slots: 1, KeepTime: time.Second})
	claimed := func(id string, claim uint64, lifetime time.Duration) *pb.RunRequest {
		return &pb.RunRequest{
			Slot:           &pb.Slot{Grant: "g", Sequence: claim},
			Key:            "booking",
			Attempt:        id,
			Claim:          claim,
			Credits:        1,
			DeadlineUnixMs: now.Add(lifetime).UnixMilli(),
		}
	}
	paused := claimed("old", 1, attempt.MaxLifetime)
	if got := registry.Admit(now, claimed("new", 2, time.Second)); got.Decision != attempt.DecisionStart {
		t.Fatalf("newer claim: %+v", got)
	}
	receipt := registry.Finish(now, "new", attempt.Outcome{
		RunState: pb.RunState_RUN_STATE_COMPLETED, Usage: &pb.Usage{Credits: 1},
	})
	registry.DropDurable([]*pb.Slot{receipt.GetSlot()})
	for range 59 {
		now = now.Add(time.Minute)
		registry.Expire(now)
	}
	if counts := registry.Counts(); counts.Attempts != 0 {
		t.Fatalf("record of the newer attempt is not dropped: %+v", counts)
	}
	got := registry.Admit(now, paused)
	if got.Decision != attempt.DecisionRefuse || got.Refusal.Cause != refusal.CauseFenced ||
		got.Refusal.RunState != pb.RunState_RUN_STATE_UNKNOWN {
		t.Errorf("older claim: %+v", got)
	}
}
