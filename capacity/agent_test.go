package capacity

import (
	"testing"
	"time"

	"jackdawswitch/agent/attempt"
	pb "jackdawswitch/api/jackdawv1"
)

// maxReceiptsPerPush is the maximum number of receipts in a push of an agent, which
// pushes once a second.
const maxReceiptsPerPush = 500

func newRegistry() *attempt.Registry {
	return attempt.New(attempt.Options{Slots: 1, KeepTime: time.Minute, KeepBytes: 1 << 30, ReceiptLimit: 1 << 30})
}

// runAttempt admits and finishes the ith attempt at now and returns its slot.
func runAttempt(b *testing.B, r *attempt.Registry, now time.Time, i int) *pb.Slot {
	b.Helper()
	pending := receipt(i)
	admission := r.Admit(now, &pb.RunRequest{
		Slot: pending.GetSlot(), Partition: pending.GetPartition(), Lot: pending.GetLot(), Key: pending.GetKey(),
		Attempt: pending.GetAttempt(), BodyHash: make([]byte, 16), Repeatable: true, Credits: pending.GetReserved(),
		DeadlineUnixMs: now.Add(time.Minute).UnixMilli(),
	})
	if admission.Decision != attempt.DecisionStart {
		b.Fatal(admission)
	}
	r.Finish(now, pending.GetAttempt(), attempt.Outcome{RunState: pending.GetRunState(), Usage: pending.GetUsage()})
	return pending.GetSlot()
}

// BenchmarkAgentReceipts measures the memory of an agent's attempt registry by number
// of attempts with a pending receipt.
func BenchmarkAgentReceipts(b *testing.B) {
	reportFit(b, "B/receipt", []int{500, 1000, 2000, 4000}, func(n int) float64 {
		return retainedBytes(func() any {
			r := newRegistry()
			for i := range n {
				runAttempt(b, r, start, i)
			}
			return r
		})
	})
}

// BenchmarkReceiptOffers measures how many receipts an agent pushes per second by
// number of pending receipts, when none of them becomes durable.
func BenchmarkReceiptOffers(b *testing.B) {
	const seconds = 300
	reportFit(b, "offers/s/receipt", []int{500, 1000, 2000, 3000}, func(n int) float64 {
		r := newRegistry()
		for i := range n {
			runAttempt(b, r, start, i)
		}
		pushes := 0
		for second := range 2 * seconds {
			batch := r.DueReceipts(start.Add(time.Duration(second)*time.Second), maxReceiptsPerPush, false)
			if second >= seconds {
				pushes += len(batch)
			}
		}
		return float64(pushes) / seconds
	})
}

// BenchmarkOffersUntilDurable measures how often an agent pushes a receipt until it is
// durable, by the settlement interval in seconds. The result is the mean over receipts
// made in each second of the interval.
func BenchmarkOffersUntilDurable(b *testing.B) {
	reportFit(b, "offers/s", []int{5, 15, 30, 60, 120}, func(interval int) float64 {
		pushes := 0
		for madeAt := range interval {
			r := newRegistry()
			slot := runAttempt(b, r, start.Add(time.Duration(madeAt)*time.Second), madeAt)
			for second := madeAt; ; second++ {
				pushed := len(r.DueReceipts(start.Add(time.Duration(second)*time.Second), maxReceiptsPerPush, false))
				pushes += pushed
				if pushed > 0 && second >= interval && r.DropDurable([]*pb.Slot{slot}) > 0 {
					break
				}
			}
		}
		return float64(pushes) / float64(interval)
	})
}
