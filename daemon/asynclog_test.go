package daemon

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}

	mu  sync.Mutex
	out bytes.Buffer
}

func (w *blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(line)
}

// TestLogsNeverBlockAndCountWhatTheyDrop guards against a process that blocks on its
// log because nobody reads the output. It writes more lines than the queue and the rate
// limit allow; the excess must be dropped, counted and reported.
func TestLogsNeverBlockAndCountWhatTheyDrop(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	const lines = 10 * maxQueuedLines
	for range lines {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("Write returned %d, %v; want 5, nil", n, err)
		}
	}
	dropped := w.Dropped()
	if dropped < lines-maxQueuedLines-lineBurst {
		t.Fatalf("%d of %d lines were dropped, want all beyond the queue and the burst", dropped, lines)
	}
	close(out.release)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.out.String()
	if written := int64(strings.Count(text, "line\n")); written+dropped != lines {
		t.Fatalf("%d lines written and %d dropped, want %d in total", written, dropped, lines)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Fatal("the dropped lines are not reported in the log")
	}
}

// Guards against a queue of few but large lines that takes the process's memory.
func TestTheQueueOfLogLinesIsBoundedInBytes(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	line := bytes.Repeat([]byte("x"), 100<<10)
	for range lineBurst {
		_, _ = w.Write(line)
	}
	if queued := w.queued.Load(); queued > maxQueuedBytes || w.Dropped() == 0 {
		t.Errorf("%d bytes queued and %d lines dropped, want at most %d bytes", queued, w.Dropped(), maxQueuedBytes)
	}
	close(out.release)
	w.Close()
	if queued := w.queued.Load(); queued != 0 {
		t.Errorf("%d bytes queued at the end", queued)
	}
}
