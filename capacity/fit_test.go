package capacity

import (
	"runtime"
	"syscall"
	"testing"
	"time"
)

// point is the value measured at one size.
type point struct {
	size  float64
	value float64
}

// line is a least-squares fit of value = intercept + slope·size.
type line struct {
	intercept float64
	slope     float64
	// r2 is the coefficient of determination.
	r2 float64
}

// fit returns the least-squares line through points, which need two or more sizes.
func fit(points []point) line {
	n := float64(len(points))
	var sumX, sumY float64
	for _, p := range points {
		sumX += p.size
		sumY += p.value
	}
	meanX, meanY := sumX/n, sumY/n
	var xx, xy, yy float64
	for _, p := range points {
		dx, dy := p.size-meanX, p.value-meanY
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	slope := xy / xx
	r2 := 1.0
	if yy > 0 {
		r2 = xy * xy / (xx * yy)
	}
	return line{intercept: meanY - slope*meanX, slope: slope, r2: r2}
}

// reportFit measures each size and reports the line fitted to the results; unit is
// the metric name of its slope.
func reportFit(b *testing.B, unit string, sizes []int, measure func(size int) float64) {
	b.Helper()
	var l line
	var points []point
	for range b.N {
		points = points[:0]
		for _, size := range sizes {
			points = append(points, point{float64(size), measure(size)})
		}
		l = fit(points)
	}
	b.Logf("%s: %v: intercept %.4g, slope %.4g, r2 %.4f", unit, points, l.intercept, l.slope, l.r2)
	b.ReportMetric(l.slope, unit)
	b.ReportMetric(l.intercept, "intercept")
	b.ReportMetric(l.r2, "r2")
	b.ReportMetric(0, "ns/op")
}

// heapBytes runs garbage collection and returns the bytes of the live heap and of
// the stacks in use.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// retainedBytes returns the heap and stack bytes that the result of build retains.
func retainedBytes(build func() any) float64 {
	before := heapBytes()
	result := build()
	bytes := heapBytes() - before
	runtime.KeepAlive(result)
	return bytes
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// cpuMicros returns the CPU time of the whole process during run, in microseconds.
func cpuMicros(b *testing.B, run func()) float64 {
	b.Helper()
	before := cpuTime(b)
	run()
	return float64(cpuTime(b)-before) / float64(time.Microsecond)
}

func TestFitFindsTheLine(t *testing.T) {
	l := fit([]point{{1, 5}, {2, 7}, {4, 11}, {8, 19}})
	if l.intercept != 3 || l.slope != 2 || l.r2 != 1 {
		t.Fatalf("got %+v, want 3 + 2x", l)
	}
}
