package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"jackdawswitch/rpc/memnet"
	"jackdawswitch/standin"
)

const engineHost = "engine"

// serveEngine serves an engine on an in-memory network and returns an HTTP client
// for it.
func serveEngine(t *testing.T, engine *standin.Engine) *http.Client {
	t.Helper()
	network := memnet.New()
	listener, err := network.Host(engineHost).Listen(engineHost)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: engine}
	go func() { _ = server.Serve(listener) }()
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return network.Host("client").Dial(ctx, engineHost)
		},
	}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	})
	return &http.Client{Transport: transport}
}

// chatParams returns a request of the OpenAI client library.
func chatParams(prompt string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "m1",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

// The engine must follow the OpenAI API closely enough for the official client
// library, with and without streaming.
func TestEngineWorksWithOpenAIClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := standin.NewEngine(standin.EngineOptions{Models: []string{"m1"}, TokenTime: time.Millisecond})
		client := openai.NewClient(
			option.WithBaseURL("http://"+engineHost+"/v1/"), option.WithAPIKey("none"), option.WithHTTPClient(serveEngine(t, engine)))
		req := chatParams("note the lot")
		body, err := json.Marshal(req)
		if err != nil {
			t.Fatal(err)
		}
		want, err := standin.ExpectedAnswer(body)
		if err != nil {
			t.Fatal(err)
		}
		complete, err := client.Chat.Completions.New(t.Context(), req)
		if err != nil || complete.Choices[0].Message.Content != want.Text() ||
			complete.Usage.CompletionTokens != int64(want.CompletionTokens) {
			t.Errorf("complete response: got %+v, %v; want %+v", complete, err, want)
		}
		var text strings.Builder
		stream := client.Chat.Completions.NewStreaming(t.Context(), req)
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
		if stream.Err() != nil || text.String() != want.Text() {
			t.Errorf("stream: got %q, %v; want %q", text.String(), stream.Err(), want.Text())
		}
		models, err := client.Models.List(t.Context())
		if err != nil || len(models.Data) != 1 || models.Data[0].ID != "m1" {
			t.Errorf("models: got %+v, %v; want m1", models, err)
		}
	})
}

// sendPrompt sends a prompt and returns the status, 0 if the connection was closed, and
// the time that the response took.
func sendPrompt(t *testing.T, client *http.Client, prompt string, priority int) (int, time.Duration) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"m1","priority":%d,"messages":[{"role":"user","content":%q}]}`, priority, prompt)
	start := time.Now()
	resp, err := client.Post("http://"+engineHost+standin.PathChat, "application/json", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, time.Since(start)
	}
	defer func() { _ = resp.Body.Close() }()
	var sink bytes.Buffer
	if _, err := sink.ReadFrom(resp.Body); err != nil {
		return 0, time.Since(start)
	}
	return resp.StatusCode, time.Since(start)
}

// A cached prompt must skip the prefill time, and cache events must be published
// with the configured delay and gaps.
func TestPrefixCacheShortensThePrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := standin.NewEngine(standin.EngineOptions{
			PrefillTime: time.Millisecond, CacheBlocks: 8, EventDelay: time.Second, EventGap: 3,
		})
		client := serveEngine(t, engine)
		prompt := strings.Repeat("word ", 16*5)
		_, cold := sendPrompt(t, client, prompt, 0)
		_, warm := sendPrompt(t, client, prompt, 0)
		if cold != 81*time.Millisecond || warm != time.Millisecond {
			t.Errorf("got %v uncached and %v cached, want 81ms and 1ms", cold, warm)
		}
		if events := engine.CacheEvents(0); len(events) != 0 {
			t.Errorf("got events before the event delay: %v", events)
		}
		time.Sleep(time.Second)
		if events := engine.CacheEvents(0); len(events) != 4 || events[2].Sequence != 4 {
			t.Errorf("got events %v, want 4 of 5, without number 3", events)
		}
		sendPrompt(t, client, strings.Repeat("other ", 16*8), 0)
		if _, evicted := sendPrompt(t, client, prompt, 0); evicted != cold {
			t.Errorf("after the eviction: got %v, want %v", evicted, cold)
		}
	})
}

// A free slot must go to the waiting request with the highest priority, a full
// queue must reject requests, and the published load must lag.
func TestHigherPriorityGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := standin.NewEngine(standin.EngineOptions{Slots: 1, QueueLimit: 2, TokenTime: time.Second, LoadLag: 3 * time.Second})
		client := serveEngine(t, engine)
		ended := make(chan int, 3)
		for _, priority := range []int{5, 1, 2} {
			go func() {
				sendPrompt(t, client, "note", priority)
				ended <- priority
			}()
			time.Sleep(time.Millisecond)
		}
		if status, _ := sendPrompt(t, client, "note", 9); status != http.StatusTooManyRequests {
			t.Errorf("request to a full queue: got status %d, want 429", status)
		}
		if load := engine.Load(); load.Running != 0 || load.AgeMS != 3000 {
			t.Errorf("got load %+v, want the load of 3 s ago", load)
		}
		time.Sleep(3 * time.Second)
		if load := engine.Load(); load.Running != 1 || load.Queued != 2 {
			t.Errorf("got load %+v, want 1 running and 2 queued", load)
		}
		if first, second, third := <-ended, <-ended, <-ended; first != 5 || second != 2 || third != 1 {
			t.Errorf("got requests in priority order %d, %d, %d, want 5, 2, 1", first, second, third)
		}
	})
}

// A crash must close the connections of running and waiting requests, and of new
// ones until the crash time is over.
func TestCrashDropsEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := standin.NewEngine(standin.EngineOptions{
			Slots: 1, TokenTime: time.Second, CrashMark: "poison", CrashTokens: 3, CrashTime: time.Minute,
		})
		client := serveEngine(t, engine)
		waiting := make(chan int, 1)
		go func() {
			time.Sleep(time.Second)
			status, _ := sendPrompt(t, client, "note", 0)
			waiting <- status
		}()
		if status, took := sendPrompt(t, client, "poison", 0); status != 0 || took != 3*time.Second {
			t.Errorf("crashing request: got status %d after %v, want 0 after 3s", status, took)
		}
		if status := <-waiting; status != 0 {
			t.Errorf("waiting request: got status %d, want 0", status)
		}
		if status, _ := sendPrompt(t, client, "note", 0); status != 0 {
			t.Errorf("request during the crash time: got status %d, want 0", status)
		}
		time.Sleep(time.Minute)
		if status, _ := sendPrompt(t, client, "note", 0); status != http.StatusOK {
			t.Errorf("request after the crash time: got status %d, want 200", status)
		}
		if stats := engine.Stats(); stats.Crashes != 1 || stats.Runs != 2 {
			t.Errorf("got stats %+v, want 1 crash and 2 runs", stats)
		}
	})
}
