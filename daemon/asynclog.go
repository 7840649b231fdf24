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
	// logQueue is the lines that wait for a slow reader of the output before
	// further lines are dropped.
	logQueue = 2048

	// logRate and logBurst bound the lines a second. A request takes one to
	// three lines; the largest routers serve about 100 requests a second.
	logRate  = 500
	logBurst = 1500

	dropReport = time.Second
)

// AsyncWriter passes lines on to a writer that may be slow. Write never blocks:
// lines beyond the queue or the rate are dropped and counted.
type AsyncWriter struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
}

// NewAsyncWriter returns a writer that passes lines on to out.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{
		lines:   make(chan []byte, logQueue),
		limiter: rate.NewLimiter(logRate, logBurst),
		done:    make(chan struct{}),
	}
	go w.run(out)
	return w
}

// Write queues a line, or drops and counts it.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	if !w.limiter.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
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
		if dropped := w.dropped.Load(); dropped > reported && time.Since(last) >= dropReport {
			reporter.Warn("log lines dropped", "total", dropped)
			reported, last = dropped, time.Now()
		}
	}
}

// Close passes on the queued lines. Write must not be called afterwards.
func (w *AsyncWriter) Close() {
	w.once.Do(func() { w.lines <- nil })
	<-w.done
}
