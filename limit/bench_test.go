package limit

import (
	"runtime"
	"strconv"
	"testing"
	"time"
)

var benchShare = Share{RequestsPerSecond: 1000, TokensPerSecond: 1e6, Concurrency: 100}

func benchPartitions(n int) []Partition {
	out := make([]Partition, n)
	for i := range out {
		out[i] = Partition{Workspace: "workspace-" + strconv.Itoa(i), Index: uint32(i % 16)}
	}
	return out
}

// BenchmarkAdmit measures admitting a request and refunding half of its tokens, with
// 1,500 workspaces in use.
func BenchmarkAdmit(b *testing.B) {
	limiter, now := New(), time.Unix(1, 0)
	partitions := benchPartitions(1500)
	b.ReportAllocs()
	for i := range b.N {
		p := partitions[i%len(partitions)]
		now = now.Add(time.Microsecond)
		charge, err := limiter.Admit(now, p, benchShare, 500, 1)
		if err == nil {
			limiter.Refund(now, p, Charge{Tokens: charge.Tokens / 2})
		}
	}
}

// BenchmarkRefuse measures refusing a request because of its rate.
func BenchmarkRefuse(b *testing.B) {
	limiter, now, p := New(), time.Unix(1, 0), Partition{Workspace: "w"}
	share := Share{RequestsPerSecond: 0.001}
	_, _ = limiter.Admit(now, p, share, 1, 0)
	b.ReportAllocs()
	for range b.N {
		_, _ = limiter.Admit(now, p, share, 1, 0)
	}
}

// BenchmarkMemory reports the heap bytes that a partition in use takes.
func BenchmarkMemory(b *testing.B) {
	const count = 24_000
	partitions := benchPartitions(count)
	for range b.N {
		before := heapBytes()
		limiter := New()
		for _, p := range partitions {
			_, _ = limiter.Admit(time.Unix(1, 0), p, benchShare, 500, 1)
		}
		b.ReportMetric(float64(heapBytes()-before)/count, "bytes/partition")
		runtime.KeepAlive(limiter)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
