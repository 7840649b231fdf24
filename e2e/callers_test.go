package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"jackdawswitch/quickstart"
	"jackdawswitch/standin"
)

// startSystem runs a system with one router and two agents in this process.
func startSystem(tb testing.TB) *quickstart.System {
	tb.Helper()
	layout, err := quickstart.NewLayout(1, 2)
	if err != nil {
		tb.Fatal(err)
	}
	system, err := quickstart.Start(context.Background(), layout, slog.New(slog.DiscardHandler))
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = system.Close() })
	return system
}

// TestCallers checks the callers' API with valid and invalid calls to one system.
func TestCallers(t *testing.T) {
	system := startSystem(t)
	t.Run("published client", func(t *testing.T) { testPublishedClient(t, system) })
	t.Run("bad input", func(t *testing.T) { testBadInput(t, system) })
	t.Run("key conflict", func(t *testing.T) { testKeyConflict(t, system) })
	t.Run("truncated body", func(t *testing.T) { testTruncatedBody(t, system) })
}

// testPublishedClient calls the router with the unmodified OpenAI client library. It
// guards against responses that existing clients cannot read.
func testPublishedClient(t *testing.T, system *quickstart.System) {
	client := openai.NewClient(
		option.WithAPIKey(quickstart.APIKey),
		option.WithBaseURL("http://"+system.Layout.Routers[0].CallerAddress+"/v1/"),
	)
	models, err := client.Models.List(t.Context())
	check(t, err)
	if len(models.Data) != 1 || models.Data[0].ID != quickstart.Model {
		t.Errorf("got models %+v, want only the one of the quickstart", models.Data)
	}
	params := openai.ChatCompletionNewParams{
		Model:     quickstart.Model,
		MaxTokens: openai.Int(20),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("the published client")},
	}
	want, err := standin.ExpectedAnswer(quickstart.ChatBody("the published client", 20, false))
	check(t, err)
	completion, err := client.Chat.Completions.New(t.Context(), params)
	check(t, err)
	if got := completion.Choices[0].Message.Content; got != want.Text() {
		t.Errorf("got response %q, want %q", got, want.Text())
	}
	if completion.Usage.CompletionTokens != int64(len(want.Words)) {
		t.Errorf("got usage %+v, want %d completion tokens", completion.Usage, len(want.Words))
	}
	var text strings.Builder
	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	check(t, stream.Err())
	if text.String() != want.Text() {
		t.Errorf("got streamed response %q, want %q", text.String(), want.Text())
	}
}

// badInput is an invalid request and the expected refusal.
type badInput struct {
	name, method, path, key, auth string
	body                          []byte
	status                        int
	code                          string
}

func badInputs() []badInput {
	chat := "/v1/chat/completions"
	good := quickstart.ChatBody("hello", 4, false)
	bearer := "Bearer " + quickstart.APIKey
	large := quickstart.ChatBody(strings.Repeat("x", 64<<20), 4, false)
	return []badInput{
		{"no key", "POST", chat, "", "", good, 401, "unauthenticated"},
		{"wrong key", "POST", chat, "", "Bearer nobody", good, 401, "unauthenticated"},
		{"not JSON", "POST", chat, "", bearer, []byte("{"), 400, "malformed_request"},
		{"wrong type", "POST", chat, "", bearer, []byte(`{"model":7}`), 400, "malformed_request"},
		{"no messages", "POST", chat, "", bearer, []byte(`{"model":"cupping-notes"}`), 400, "malformed_request"},
		{"two choices", "POST", chat, "", bearer, []byte(`{"model":"cupping-notes","messages":[{}],"n":2}`), 400, "malformed_request"},
		{"no tokens", "POST", chat, "", bearer, quickstart.ChatBody("hello", 0, false), 400, "malformed_request"},
		{"unknown model", "POST", chat, "", bearer, bytes.ReplaceAll(good, []byte(quickstart.Model), []byte("nothing")), 404, "unknown_model"},
		{"too large", "POST", chat, "", bearer, large, 413, "request_too_large"},
		{"long key", "POST", chat, strings.Repeat("k", 256), bearer, good, 400, "malformed_request"},
		{"reserved key", "POST", chat, "gen.mine", bearer, good, 400, "malformed_request"},
		{"unknown path", "GET", "/v2/nothing", "", bearer, nil, 404, "unknown_call"},
		{"wrong method", "GET", chat, "", bearer, nil, 404, "unknown_call"},
		{"unknown call", "POST", "/services/contracts/sell", "k", bearer, nil, 404, "unknown_call"},
		{"booking without key", "POST", "/services/contracts/book", "", bearer, nil, 400, "malformed_request"},
	}
}

// testBadInput sends invalid requests. Each must be refused with the right status and
// code, and be reported as neither run nor billed.
func testBadInput(t *testing.T, system *quickstart.System) {
	for _, in := range badInputs() {
		t.Run(in.name, func(t *testing.T) {
			url := "http://" + system.Layout.Routers[0].CallerAddress + in.path
			req, err := http.NewRequestWithContext(t.Context(), in.method, url, bytes.NewReader(in.body))
			check(t, err)
			req.Header.Set("Authorization", in.auth)
			if in.key != "" {
				req.Header.Set("Idempotency-Key", in.key)
			}
			resp, err := http.DefaultClient.Do(req)
			check(t, err)
			defer func() { _ = resp.Body.Close() }()
			var errorResponse struct {
				Error struct {
					Code     string `json:"code"`
					RunState string `json:"run_state"`
					Billed   bool   `json:"billed"`
				} `json:"error"`
			}
			check(t, json.NewDecoder(resp.Body).Decode(&errorResponse))
			got := errorResponse.Error
			if resp.StatusCode != in.status || got.Code != in.code || got.RunState != "not_run" || got.Billed {
				t.Errorf("got status %d, %+v; want %d, %s, not run, not billed", resp.StatusCode, got, in.status, in.code)
			}
		})
	}
}

// testKeyConflict sends two bodies with one idempotency key; the second must be
// refused.
func testKeyConflict(t *testing.T, system *quickstart.System) {
	client := quickstart.NewClient("http://" + system.Layout.Routers[0].CallerAddress)
	_, err := client.Chat(t.Context(), "one key", "first body", 4)
	check(t, err)
	_, err = client.Chat(t.Context(), "one key", "second body", 4)
	if err == nil || !strings.Contains(err.Error(), "idempotency_key_conflict") {
		t.Errorf("got error %v, want idempotency_key_conflict", err)
	}
}

// testTruncatedBody stops sending in the middle of a request body. The router must
// respond with 400 and serve other requests.
func testTruncatedBody(t *testing.T, system *quickstart.System) {
	address := system.Layout.Routers[0].CallerAddress
	conn, err := net.Dial("tcp", address)
	check(t, err)
	_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+
		quickstart.APIKey+"\r\nContent-Length: 100\r\n\r\n{\"model\"")
	check(t, err)
	check(t, conn.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	check(t, err)
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest {
		t.Errorf("got status %d, want 400", resp.StatusCode)
	}
	_, err = quickstart.NewClient("http://"+address).Chat(t.Context(), "", "after it", 4)
	check(t, err)
}

// BenchmarkOverhead measures latency and CPU time of calls to the stand-in engine, both
// directly and through router and agent, in the same run so that they are comparable.
func BenchmarkOverhead(b *testing.B) {
	system := startSystem(b)
	body := quickstart.ChatBody("overhead", 1, false)
	targets := map[string]string{
		"direct": system.Layout.EndpointURLs[0],
		"routed": "http://" + system.Layout.Routers[0].CallerAddress,
	}
	for _, name := range []string{"direct", "routed"} {
		b.Run(name, func(b *testing.B) {
			client := quickstart.NewClient(targets[name])
			times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			before := cpuTime(b)
			for b.Loop() {
				started := time.Now()
				resp, err := client.Do(b.Context(), http.MethodPost, "/v1/chat/completions", "", body)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				_ = times.RecordValue(time.Since(started).Microseconds())
			}
			b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(times.ValueAtQuantile(95)), "p95-us")
			cpuUsed := cpuTime(b) - before
			b.ReportMetric(float64(cpuUsed.Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

// cpuTime returns the CPU time that this process has used: client, stand-in engine
// and, for routed calls, router and agent.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
