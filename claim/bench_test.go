package claim

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	pb "jackdawswitch/api/jackdawv1"
)

// runRequest takes one request through Begin, Open, Dispatch and Finish.
func runRequest(table *Table, now time.Time, key Key, n uint64, attempt string) {
	req := Request{Key: key, Repeatable: true, Deadline: now.Add(time.Minute)}
	table.Begin(now, req, attempt)
	slot := Slot{"grant-1", n}
	table.Open(now, key, Reservation{Slot: slot, Lot: "lot-1", Credits: 10, Attempt: attempt})
	table.Dispatch(now, key, attempt, Agent{VM: "agent-1", Incarnation: 1, Address: "10.0.0.1:7000", Endpoint: "e-1"})
	outcome := Outcome{Key: key, Slot: slot, Attempt: attempt, RunState: pb.RunState_RUN_STATE_COMPLETED, Endpoint: "e-1"}
	table.Finish(now, outcome, attempt+"n")
}

// BenchmarkRequest measures the table's work for one request: Begin, Open,
// Dispatch and Finish.
func BenchmarkRequest(b *testing.B) {
	for _, kind := range []string{"own", "generated"} {
		b.Run(kind, func(b *testing.B) {
			table := New(DefaultPolicy())
			now := time.Unix(1_000_000, 0)
			b.ReportAllocs()
			for i := range b.N {
				name := strconv.Itoa(i)
				key := Key{"ws", name}
				if kind == "generated" {
					key.Name = GeneratedPrefix + name
				}
				runRequest(table, now, key, uint64(i), name)
			}
		})
	}
}

// BenchmarkKeyBytes measures the heap bytes per finished key and per tombstone.
func BenchmarkKeyBytes(b *testing.B) {
	for _, size := range []int{10_000, 20_000, 40_000, 80_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			for range b.N {
				table := New(DefaultPolicy())
				now := time.Unix(1_000_000, 0)
				before := heapBytes()
				for i := range size {
					name := fmt.Sprintf("01234567-89ab-cdef-0123-%012d", i)
					runRequest(table, now, Key{"ws", name}, uint64(i), "router-17.1764796800."+strconv.Itoa(i))
				}
				finished := heapBytes()
				table.Sweep(now.Add(11*time.Minute), size)
				forgotten := heapBytes()
				b.ReportMetric(float64(finished-before)/float64(size), "B/key")
				b.ReportMetric(float64(forgotten-before)/float64(size), "B/forgotten")
				runtime.KeepAlive(table)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
