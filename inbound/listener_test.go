package inbound

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// serveWithin serves handler on a listener with so many connections, and returns its address.
func serveWithin(t *testing.T, connections int, sendMemory int64, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounded := NewListener(listener, Options{
		Name: "test", Limits: Limits{Connections: connections, HeadMemoryBytes: 1 << 20, SendMemoryBytes: sendMemory, KernelBufferBytes: kernelBufferBytes},
		Times:        func() Times { return Times{Head: time.Minute, Idle: time.Minute} },
		MaxHeadBytes: func() int { return 16 << 10 },
		Kept:         time.Minute, WriteTime: time.Minute,
		Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
	})
	server := bounded.Server(handler)
	go func() { _ = server.Serve(bounded) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// TestASlowReaderOfAnAnswerKeepsItsConnection has a client that takes an answer over some seconds,
// while others press for its place.
func TestASlowReaderOfAnAnswerKeepsItsConnection(t *testing.T) {
	const size, part, pause = 256 << 10, 8 << 10, 150 * time.Millisecond
	address := serveWithin(t, 2, 0, func(w http.ResponseWriter, r *http.Request) {
		MayRun(r)
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(pause / 4):
			}
			if other, err := net.Dial("tcp", address); err == nil {
				defer func() { _ = other.Close() }()
			}
		}
	}()
	got := 0
	var lastErr error
	buf := make([]byte, part)
	for {
		n, err := conn.Read(buf)
		got += n
		if err != nil {
			lastErr = err
			break
		}
		time.Sleep(pause)
	}
	if got < size {
		t.Errorf("got %d bytes of an answer of %d: %v", got, size, lastErr)
	}
}

// TestANewConnectionTakesThePlaceOfASilentOne checks that a full listener serves a request.
func TestANewConnectionTakesThePlaceOfASilentOne(t *testing.T) {
	address := serveWithin(t, 4, 0, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	for range 20 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
	}
	resp, err := http.Get("http://" + address)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// TestALargeHeadIsRefusedWithAStatus has a head over the limit, which its client sends whole before it
// reads.
func TestALargeHeadIsRefusedWithAStatus(t *testing.T) {
	address := serveWithin(t, 4, 0, func(http.ResponseWriter, *http.Request) { t.Error("the request is handled") })
	req, err := http.NewRequest(http.MethodGet, "http://"+address, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("K", strings.Repeat("v", 100<<10))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, want 431", resp.StatusCode)
	}
}

// Guards against an answer that ends at its deadline because its client reads slowly.
func TestAnAnswerIsWrittenForASlowReaderWhileThereIsMemory(t *testing.T) {
	const size = 1 << 20
	for memory, whole := range map[int64]bool{4 << 20: true, 0: false} {
		address := serveWithin(t, 4, memory, func(w http.ResponseWriter, r *http.Request) {
			MayRun(r)
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		})
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(kernelBufferBytes)
		_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		time.Sleep(time.Second)
		n, _ := io.Copy(io.Discard, conn)
		_ = conn.Close()
		if (n >= size) != whole {
			t.Errorf("with %d bytes of memory the client got %d of %d", memory, n, size)
		}
	}
}
