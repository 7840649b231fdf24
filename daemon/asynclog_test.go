package daemon

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}

	mu  sync.Mutex
	out bytes.Buffer
}

func (w *stuckWriter) Write(line []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(line)
}

// TestLogsNeverBlockAndCountWhatTheyDrop writes more lines than are allowed to an
// output that nobody reads.
func TestLogsNeverBlockAndCountWhatTheyDrop(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	const lines = 10 * logQueue
	for range lines {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("%d, %v", n, err)
		}
	}
	dropped := w.Dropped()
	if dropped < lines-logQueue-logBurst {
		t.Fatalf("%d of %d lines were dropped", dropped, lines)
	}
	close(out.release)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	text := out.out.String()
	if kept := int64(strings.Count(text, "line\n")); kept+dropped != lines {
		t.Fatalf("%d kept and %d dropped of %d", kept, dropped, lines)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Fatal("the loss is not told")
	}
}
