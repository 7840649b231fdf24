package credit

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/ledger"
	"jackdawswitch/refusal"
)

// Transfer implements Peers.
func (f *testFleet) Transfer(ctx context.Context, vm string, req *pb.TransferRequest) (*pb.TransferResponse, error) {
	for i := range f.homes {
		if h := f.home(i); h.holder.VM == vm {
			return h.Transfer(ctx, req)
		}
	}
	return &pb.TransferResponse{}, nil
}

// OfferReceipts implements Peers.
func (f *testFleet) OfferReceipts(_ context.Context, vm string, req *pb.OfferReceiptsRequest) (*pb.OfferReceiptsResponse, error) {
	resp := &pb.OfferReceiptsResponse{}
	for i := range f.homes {
		if h := f.home(i); h.holder.VM == vm {
			for _, r := range req.GetReceipts() {
				h.Settle(r)
				resp.Durable = append(resp.Durable, h.Durable([]*pb.Slot{r.GetSlot()})...)
			}
			for _, r := range req.GetReleased() {
				h.Settle(r)
				resp.Released = append(resp.Released, r.GetSlot())
			}
		}
	}
	return resp, nil
}

// TestProofBilledExactlyOnceAfterTheHomeMoved guards against an unbilled receipt:
// after the home of a partition has changed, a receipt arrives at a router that does
// not hold the slot's grant. The router that does must bill it.
func TestProofBilledExactlyOnceAfterTheHomeMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		defer f.stopAndReclaim()
		res, err := f.home(0).Reserve(ctx, testPartition, "k", 10)
		if err != nil {
			t.Fatal(err)
		}
		f.agents.startRun(res, "k")
		f.home(1).Settle(f.agents.finishRun(res.Slot, 7))
		time.Sleep(time.Minute)
		grant := readRow[ledger.GrantRow](t, f.table, ledger.GrantKey("ws", res.Lot, res.Slot.GetGrant()))
		if grant.Billed != 7 || len(f.home(1).Durable([]*pb.Slot{res.Slot})) != 1 {
			t.Fatalf("receipt not billed to its grant, or not known to be durable: %+v", grant)
		}
	})
}

func TestBorrowFromOtherHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		defer f.stopAndReclaim()
		committed := func() (sum int64) {
			for _, id := range []string{"lot0", "lot1"} {
				sum += readRow[ledger.LotRow](t, f.table, ledger.LotKey("ws", id)).Committed
			}
			return sum
		}
		// Two homes take most of both lots.
		for i := range 2 {
			for _, lot := range []int64{2000, 9000} {
				res, err := f.home(i).Reserve(ctx, testPartition, "k", lot)
				if err != nil {
					continue
				}
				f.home(i).Settle(&pb.Receipt{Slot: res.Slot, Partition: testPartition, RunState: pb.RunState_RUN_STATE_NOT_RUN})
			}
		}
		before := committed()
		borrower := f.home(2)
		borrower.opts.Peers = nil
		_, err := borrower.Reserve(ctx, testPartition, "k", 15_000)
		if causeOf(err) != refusal.CauseCreditExhausted {
			t.Fatalf("without borrowing: %v, %d committed", err, before)
		}
		borrower.opts.Peers = f
		res, err := borrower.Reserve(ctx, testPartition, "k", 15_000)
		if err != nil || res.Credits != 15_000 {
			t.Fatalf("with borrowing: %v, %d committed", err, committed())
		}
		f.checkBudget()
	})
}
