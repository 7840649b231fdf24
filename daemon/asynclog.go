package daemon

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxQueuedLines is the number of lines that can wait for a slow output.
	// Further lines are dropped.
	maxQueuedLines = 2048

	// maxQueuedBytes is the size of the lines that can wait: some hundred bytes each.
	maxQueuedBytes = 4 << 20

	// linesPerSecond and lineBurst limit the rate of lines. A request logs one to
	// three lines; the largest routers serve about 100 requests a second.
	linesPerSecond = 500
	lineBurst      = 1500

	dropReportInterval = time.Second
)

// AsyncWriter forwards lines to a writer that may be slow. Write never blocks:
// lines that exceed the queue or the rate limit are dropped and counted.
type AsyncWriter struct {
	// lines is the queue; Close ends it with a nil line. queued is the size of its lines.
	lines   chan []byte
	queued  atomic.Int64
	limiter *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns a writer that forwards lines to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{
		lines:   make(chan []byte, maxQueuedLines),
		limiter: rate.NewLimiter(linesPerSecond, lineBurst),
		done:    make(chan struct{}),
	}
	go w.run(out)
	return w
}

// Write queues a line, or drops and counts it. It always reports success.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	if !w.enqueue(line) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// enqueue reports whether the queue has taken a line.
func (w *AsyncWriter) enqueue(line []byte) bool {
	size := int64(len(line))
	if w.queued.Add(size) > maxQueuedBytes {
		w.queued.Add(-size)
		return false
	}
	select {
	case w.lines <- bytes.Clone(line):
		return true
	default:
		w.queued.Add(-size)
		return false
	}
}

// Dropped returns the number of lines dropped so far.
func (w *AsyncWriter) Dropped() int64 { return w.dropped.Load() }

func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	reporter := slog.New(slog.NewJSONHandler(out, nil))
	var reported int64
	var last time.Time
	for line := range w.lines {
		if line == nil {
			return
		}
		_, _ = out.Write(line)
		w.queued.Add(-int64(len(line)))
		if dropped := w.dropped.Load(); dropped > reported && time.Since(last) >= dropReportInterval {
			reporter.Warn("log lines dropped", "total", dropped)
			reported, last = dropped, time.Now()
		}
	}
}

// Close forwards the queued lines and returns once they are written. Write must
// not be called afterwards.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { w.lines <- nil })
	<-w.done
}
