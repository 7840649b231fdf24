package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
)

// fakeRouter is an in-memory router. The last digit of the request's index, which
// ends the prompt in brackets, selects the response: 1 is refused, 2 cut short
// if streamed, 3 a transport error, 4 a wrong response; all others are complete.
type fakeRouter struct {
	delay           time.Duration
	requestsByKey   map[string]int
	idempotencyKeys map[string]bool
}

type chatRequest struct {
	Stream   bool `json:"stream"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

// RoundTrip implements http.RoundTripper. It needs no lock, as the tests' requests
// never use the maps at the same time.
func (f *fakeRouter) RoundTrip(req *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return nil, err
	}
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return nil, err
	}
	time.Sleep(f.delay)
	prompt := chat.Messages[0].Content
	f.requestsByKey[req.Header.Get("Authorization")]++
	f.idempotencyKeys[req.Header.Get("Idempotency-Key")] = true
	switch {
	case strings.HasSuffix(prompt, "1]"):
		return respond(http.StatusTooManyRequests, "application/json", `{"error":{"code":"rate_limited","message":"m"}}`), nil
	case strings.HasSuffix(prompt, "2]") && chat.Stream:
		return respond(http.StatusOK, "text/event-stream", chunk("half", "")), nil
	case strings.HasSuffix(prompt, "3]"):
		return nil, io.ErrUnexpectedEOF
	case strings.HasSuffix(prompt, "4]"):
		prompt = "another's"
	}
	if chat.Stream {
		text := chunk(prompt, "") + chunk("", "stop") + "data: {\"choices\":[],\"usage\":{\"completion_tokens\":5}}\n\ndata: [DONE]\n\n"
		return respond(http.StatusOK, "text/event-stream", text), nil
	}
	text := fmt.Sprintf(`{"choices":[{"finish_reason":"stop","message":{"content":%q}}],"usage":{"completion_tokens":5}}`, prompt)
	return respond(http.StatusOK, "application/json", text), nil
}

func chunk(content, finish string) string {
	return fmt.Sprintf("data: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":%q}]}\n\n", content, finish)
}

func respond(status int, contentType, body string) *http.Response {
	return &http.Response{
		StatusCode: status, Header: http.Header{"Content-Type": {contentType}},
		Body: io.NopCloser(strings.NewReader(body)),
	}
}

func options(router *fakeRouter) Options {
	return Options{
		BaseURL: "http://router", Keys: []string{"k1", "k2"}, Model: "notes", Prompt: "p", MaxTokens: 5,
		Rate: 10, Duration: 2 * time.Second, Concurrency: 8, Transport: router,
		Verify: func(prompt, response string) bool { return prompt == response },
	}
}

// TestLoadCountsOutcomes guards against counting a request under the wrong outcome
// and against times that are not those of complete responses.
func TestLoadCountsOutcomes(t *testing.T) {
	for _, streamed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			router := &fakeRouter{delay: 50 * time.Millisecond, requestsByKey: make(map[string]int), idempotencyKeys: make(map[string]bool)}
			opts := options(router)
			opts.Stream = streamed
			reports := 0
			opts.Progress = func(Result) { reports++ }
			result, err := Run(t.Context(), opts)
			if err != nil {
				t.Fatal(err)
			}
			want := map[string]int64{OutcomeComplete: 12, OutcomeIncomplete: 2, OutcomeNoResponse: 2, OutcomeWrong: 2}
			if !streamed {
				want = map[string]int64{OutcomeComplete: 14, OutcomeNoResponse: 2, OutcomeWrong: 2}
			}
			if fmt.Sprint(result.Outcomes) != fmt.Sprint(want) || result.Refused["rate_limited"] != 2 || result.Sent != 20 {
				t.Errorf("stream %v: got %+v", streamed, result)
			}
			if result.Total.P50 < 50 || result.Total.P50 > 51 || result.FirstToken.Max > 51 || result.Tokens != 5*want[OutcomeComplete] {
				t.Errorf("stream %v: times %+v %+v, tokens %d", streamed, result.FirstToken, result.Total, result.Tokens)
			}
			if router.requestsByKey["Bearer k1"] != 10 || router.requestsByKey["Bearer k2"] != 10 || len(router.idempotencyKeys) != 20 || reports == 0 {
				t.Errorf("keys %v, %d idempotency keys, %d reports", router.requestsByKey, len(router.idempotencyKeys), reports)
			}
			var failed *FailedError
			if !errors.As(result.Err(), &failed) || failed.Wrong != 2 {
				t.Errorf("Result.Err() = %v, want a *FailedError with 2 wrong responses", result.Err())
			}
			var table bytes.Buffer
			if err := result.WriteTable(&table); err != nil || !strings.Contains(table.String(), "refused: rate_limited") {
				t.Errorf("%v\n%s", err, table.String())
			}
		})
	}
}

// TestLoadIsBoundedAndOpenLoop checks that slow responses leave due requests unsent
// instead of delaying them, and that a cancelled run ends early.
func TestLoadIsBoundedAndOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router := &fakeRouter{delay: time.Second, requestsByKey: make(map[string]int), idempotencyKeys: make(map[string]bool)}
		opts := options(router)
		opts.Concurrency = 1
		result, err := Run(t.Context(), opts)
		if err != nil || result.Sent != 2 || result.Unsent != 18 {
			t.Errorf("got %+v, %v", result, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		start := time.Now()
		if _, err := Run(ctx, opts); err != nil || time.Since(start) > 2*time.Second {
			t.Errorf("cancelled run took %v, error %v", time.Since(start), err)
		}
	})
}

func TestLoadRejectsInvalidOptions(t *testing.T) {
	for name, invalidate := range map[string]func(*Options){
		"base URL":    func(o *Options) { o.BaseURL = "" },
		"keys":        func(o *Options) { o.Keys = nil },
		"model":       func(o *Options) { o.Model = "" },
		"rate":        func(o *Options) { o.Rate = maxRate + 1 },
		"duration":    func(o *Options) { o.Duration = 0 },
		"concurrency": func(o *Options) { o.Concurrency = 0 },
		"max tokens":  func(o *Options) { o.MaxTokens = 0 },
	} {
		opts := options(nil)
		invalidate(&opts)
		_, err := Run(t.Context(), opts)
		var optionErr *OptionError
		if !errors.As(err, &optionErr) || optionErr.Option != name {
			t.Errorf("invalid %s: got error %v, want an *OptionError for it", name, err)
		}
	}
}
