package capacity

import (
	"testing"
	"time"

	"jackdawswitch/agent/attempt"
	pb "jackdawswitch/api/jackdawv1"
)

// batchLimit is the number of receipts that an agent offers at once, each
// second.
const batchLimit = 500

func registry() *attempt.Registry {
	return attempt.New(attempt.Options{Slots: 1, KeepTime: time.Minute, KeepBytes: 1 << 30, ReceiptLimit: 1 << 30})
}

// run lets an agent run the ith attempt at now.
func run(b *testing.B, r *attempt.Registry, now time.Time, i int) *pb.Slot {
	b.Helper()
	kept := receipt(i)
	got := r.Admit(now, &pb.RunRequest{
		Slot: kept.GetSlot(), Partition: kept.GetPartition(), Lot: kept.GetLot(), Key: kept.GetKey(),
		Attempt: kept.GetAttempt(), BodyHash: make([]byte, 16), Repeatable: true, Credits: kept.GetReserved(),
		DeadlineUnixMs: now.Add(time.Minute).UnixMilli(),
	})
	if got.Decision != attempt.DecisionStart {
		b.Fatal(got)
	}
	r.Finish(now, kept.GetAttempt(), attempt.Outcome{RunState: kept.GetRunState(), Usage: kept.GetUsage()})
	return kept.GetSlot()
}

// BenchmarkAgentReceipts measures an agent's records by attempts whose receipts
// it still keeps.
func BenchmarkAgentReceipts(b *testing.B) {
	reportFit(b, "B/receipt", []int{500, 1000, 2000, 4000}, func(n int) float64 {
		return held(func() any {
			r := registry()
			for i := range n {
				run(b, r, start, i)
			}
			return r
		})
	})
}

// BenchmarkReceiptOffers measures the receipts that an agent offers each second
// by the receipts that it keeps and none becomes durable.
func BenchmarkReceiptOffers(b *testing.B) {
	const seconds = 300
	reportFit(b, "offers/s/receipt", []int{500, 1000, 2000, 3000}, func(n int) float64 {
		r := registry()
		for i := range n {
			run(b, r, start, i)
		}
		offers := 0
		for second := range 2 * seconds {
			batch := r.DueReceipts(start.Add(time.Duration(second)*time.Second), batchLimit, false)
			if second >= seconds {
				offers += len(batch)
			}
		}
		return float64(offers) / seconds
	})
}

// BenchmarkOffersUntilDurable measures how often a receipt is offered by the
// seconds between settlements, on the mean over the time at which it was made.
func BenchmarkOffersUntilDurable(b *testing.B) {
	reportFit(b, "offers/s", []int{5, 15, 30, 60, 120}, func(interval int) float64 {
		offers := 0
		for made := range interval {
			r := registry()
			slot := run(b, r, start.Add(time.Duration(made)*time.Second), made)
			for second := made; ; second++ {
				offered := len(r.DueReceipts(start.Add(time.Duration(second)*time.Second), batchLimit, false))
				offers += offered
				if offered > 0 && second >= interval && r.DropDurable([]*pb.Slot{slot}) > 0 {
					break
				}
			}
		}
		return float64(offers) / float64(interval)
	})
}
