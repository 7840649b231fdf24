package callers

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"jackdawswitch/config"
	"jackdawswitch/router/dispatch"
)

type stubDispatcher struct{}

func (stubDispatcher) Do(context.Context, *dispatch.Request, dispatch.Sink) error { return nil }

func startCallers(t *testing.T, log io.Writer, cfg func() (*config.Document, uint64)) (address string, stop func()) {
	s, err := New(Options{
		Config: cfg, Workspace: func(string) (string, bool) { return "", false },
		Dispatcher: stubDispatcher{}, Logger: slog.New(slog.NewTextHandler(log, nil)), Metrics: tally.NoopScope,
	})
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = s.Serve(ctx, context.Background(), l, 2*time.Second) }()
	return l.Addr().String(), cancel
}

// Guards against a kept connection that a stop closes though nothing told its caller so.
func TestProofARouterWithAgentsServesAKeptConnectionOverAStop(t *testing.T) {
	address, stop := startCallers(t, io.Discard, func() (*config.Document, uint64) { return nil, 0 })
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	responses := bufio.NewReader(conn)
	ask := func() (*http.Response, error) {
		_, _ = fmt.Fprintf(conn, "GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n")
		resp, err := http.ReadResponse(responses, nil)
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		return resp, err
	}
	first, err := ask()
	if err != nil || first.Close {
		t.Fatalf("%+v, %v, want an answer that keeps the connection", first, err)
	}
	stop()
	time.Sleep(100 * time.Millisecond)
	if _, err := ask(); err != nil {
		t.Errorf("no answer on a connection that was kept: %v", err)
	}
}

// Guards against a panic that ends a request without an answer and without a log line.
func TestAPanicIsAnsweredAndLogged(t *testing.T) {
	var log bytes.Buffer
	address, _ := startCallers(t, &log, func() (*config.Document, uint64) { panic("at the request") })
	resp, err := http.Get("http://" + address + "/v1/models")
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusInternalServerError || !bytes.Contains(log.Bytes(), []byte("at the request")) {
		t.Errorf("status %d, log %q, want 500 and the cause", resp.StatusCode, log.String())
	}
}

// Guards against a request whose body comes slowly and that the end of a stop cuts off.
func TestProofARouterWithAgentsAnswersASlowBodyWhenItStops(t *testing.T) {
	doc := &config.Document{}
	doc.Register.Workspaces = []config.Workspace{{ID: "coffee"}}
	s, err := New(Options{
		Config: func() (*config.Document, uint64) { return doc, 1 }, Workspace: func(string) (string, bool) { return "coffee", true },
		Dispatcher: stubDispatcher{}, Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
	})
	if err != nil {
		t.Fatal(err)
	}
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Serve(ctx, context.Background(), l, time.Second) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nContent-Length: 400\r\n\r\n{")
	time.Sleep(200 * time.Millisecond)
	cancel()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_ = resp.Body.Close()
}

// Guards against a body that is still read at the end of a stop and keeps its refusal back.
func TestABodyThatIsReadAtTheEndOfAStopIsRefusedAsNotRun(t *testing.T) {
	doc := &config.Document{Rules: config.DefaultRules()}
	doc.Register.Workspaces = []config.Workspace{{ID: "coffee"}}
	s, err := New(Options{
		Config: func() (*config.Document, uint64) { return doc, 1 }, Workspace: func(string) (string, bool) { return "coffee", true },
		Dispatcher: stubDispatcher{}, Logger: slog.New(slog.DiscardHandler), Metrics: tally.NoopScope,
	})
	if err != nil {
		t.Fatal(err)
	}
	l, _ := net.Listen("tcp", "127.0.0.1:0")
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Serve(ctx, context.Background(), l, time.Second) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nContent-Length: 400\r\n\r\n{")
	time.Sleep(200 * time.Millisecond)
	cancel()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	body, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusServiceUnavailable || !bytes.Contains(body, []byte("not_run")) {
		t.Errorf("status %d, %s, want 503 and that it has not run", resp.StatusCode, body)
	}
}
