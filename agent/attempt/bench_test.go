package attempt_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"jackdawswitch/agent/attempt"
	pb "jackdawswitch/api/jackdawv1"
)

func runAttempts(b *testing.B, registry *attempt.Registry, now time.Time, count int) []*pb.Slot {
	b.Helper()
	slots := make([]*pb.Slot, count)
	for i := range count {
		id := fmt.Sprintf("attempt-%016x", i)
		slots[i] = &pb.Slot{Grant: "grant-0123456789abcdef", Sequence: uint64(i)}
		got := registry.Admit(now, &pb.RunRequest{
			Slot:           slots[i],
			Partition:      &pb.Partition{Workspace: "hamutenya"},
			Lot:            "lot-2027",
			Key:            fmt.Sprintf("key-%032x", i),
			Attempt:        id,
			BodyHash:       make([]byte, 32),
			Repeatable:     true,
			Credits:        1000,
			DeadlineUnixMs: now.Add(time.Minute).UnixMilli(),
		})
		if got.Decision != attempt.DecisionStart {
			b.Fatal(got)
		}
		registry.Finish(now, id, attempt.Outcome{
			RunState: pb.RunState_RUN_STATE_COMPLETED,
			Usage:    &pb.Usage{PromptTokens: 100, CompletionTokens: 100, Credits: 500},
		})
	}
	return slots
}

func newBenchRegistry() *attempt.Registry {
	return attempt.New(attempt.Options{
		Slots: 1, KeepTime: time.Minute, KeepBytes: 1 << 30, ReceiptLimit: 1 << 30,
	})
}

// BenchmarkAttempt measures the time of admitting and finishing one attempt, and
// the memory of its record with a pending receipt (B/kept) and with a durable one
// (B/durable).
func BenchmarkAttempt(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	var before, pending, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	registry := newBenchRegistry()
	b.ResetTimer()
	slots := runAttempts(b, registry, now, b.N)
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&pending)
	registry.DropDurable(slots)
	clear(slots)
	runtime.GC()
	runtime.ReadMemStats(&after)
	attempts := float64(b.N)
	b.ReportMetric(float64(pending.HeapAlloc-before.HeapAlloc)/attempts, "B/kept")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/attempts, "B/durable")
	runtime.KeepAlive(registry)
}

// BenchmarkExpire measures one Expire call over 10,000 attempts.
func BenchmarkExpire(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	registry := newBenchRegistry()
	runAttempts(b, registry, now, 10_000)
	b.ResetTimer()
	for range b.N {
		registry.Expire(now)
	}
}
