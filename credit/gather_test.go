package credit

import (
	"testing"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/ledger"
)

func attemptReceipt(sequence uint64, state pb.RunState, credits int64) *pb.Receipt {
	return &pb.Receipt{
		Slot:     &pb.Slot{Grant: "g", Sequence: sequence},
		RunState: state,
		Usage:    &pb.Usage{Credits: credits},
		Reserved: 60,
	}
}

// TestGatherLeavesRetriedSlotsOpen checks that a slot stays open if its attempt
// ended early and its next attempt still runs: it is billed from the receipt of
// the running attempt.
func TestGatherLeavesRetriedSlotsOpen(t *testing.T) {
	g := gatheredOf("g", &pb.FenceResponse{
		Receipts: []*pb.Receipt{
			attemptReceipt(1, pb.RunState_RUN_STATE_PARTIAL, 0),
			attemptReceipt(2, pb.RunState_RUN_STATE_COMPLETED, 20),
			attemptReceipt(3, pb.RunState_RUN_STATE_NOT_RUN, 0),
		},
		Running: []*pb.Receipt{attemptReceipt(1, pb.RunState_RUN_STATE_UNSPECIFIED, 0)},
	}, func(*pb.Receipt) bool { return false })
	if len(g.Bills) != 1 || g.Bills[0].Sequence != 2 {
		t.Errorf("bills %+v, want slot 2 alone", g.Bills)
	}
	if len(g.Running) != 1 || g.Running[0].Sequence != 1 {
		t.Errorf("running %+v, want slot 1", g.Running)
	}
}

// TestGatherKeepsSlotsForRetries checks that a slot stays open with its
// reservation if its attempt ended early so recently that a next attempt may still
// run, unless another attempt completed.
func TestGatherKeepsSlotsForRetries(t *testing.T) {
	resp := &pb.FenceResponse{Receipts: []*pb.Receipt{
		attemptReceipt(1, pb.RunState_RUN_STATE_PARTIAL, 0),
		attemptReceipt(2, pb.RunState_RUN_STATE_PARTIAL, 5),
		attemptReceipt(2, pb.RunState_RUN_STATE_COMPLETED, 20),
	}}
	mayHaveNextAttempt := func(r *pb.Receipt) bool { return r.GetRunState() == pb.RunState_RUN_STATE_PARTIAL }
	g := gatheredOf("g", resp, mayHaveNextAttempt)
	if len(g.Running) != 1 || g.Running[0].Sequence != 1 || g.Running[0].Credits != 60 {
		t.Errorf("open %+v, want slot 1 with its reservation", g.Running)
	}
	if len(g.Bills) != 2 || g.Bills[0].Sequence != 2 || g.Bills[1].Sequence != 2 {
		t.Errorf("bills %+v, want those of slot 2", g.Bills)
	}
}

// TestUnresolvedBillsAreMerged checks that a key is not billed both its whole
// reservation, by a reclaim, and its usage, by another home. Without a finish time
// the first bill would not be merged with the second; with one, one of the bills is
// credited back.
func TestUnresolvedBillsAreMerged(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	lost := []ledger.Bill{{Sequence: 22, Key: "k", Credits: 60, Unresolved: true}}
	fillBillTimes(lost, now)
	slots := []ledger.BilledSlot{
		{Grant: "dead", Bill: lost[0]},
		{Grant: "own", Bill: ledger.Bill{Key: "k", Credits: 47, FinishedUnixMs: now.Add(-time.Minute).UnixMilli()}},
	}
	row, changed := ledger.Merge(ledger.MergeRow{}, slots, time.Hour)
	if !changed || len(row.Kept) != 1 || len(row.Credited) != 1 {
		t.Errorf("merged to %+v, want one bill kept and one credited", row)
	}
}
