package loadgen

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/pkg/errors"
)

// Outcomes of requests that were not refused; refusals are counted by cause.
const (
	OutcomeComplete   = "whole"
	OutcomeIncomplete = "broken"
	OutcomeWrong      = "wrong_answer"
	OutcomeNoResponse = "no_answer"
)

// response is the outcome of one request, with its times and tokens.
type response struct {
	outcome string
	// refusal is the cause of the router's refusal, or status_NNN if the response
	// has none; it is empty if the request was not refused.
	refusal    string
	firstToken time.Duration
	total      time.Duration
	tokens     int64
}

// request sends one request and waits for its outcome. Its times count from due.
func (g *generator) request(ctx context.Context, index int, due time.Time) response {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	prompt := fmt.Sprintf("%s [%d]", g.opts.Prompt, index)
	client := openai.NewClient(
		option.WithBaseURL(strings.TrimSuffix(g.opts.BaseURL, "/")+"/v1/"),
		option.WithAPIKey(g.opts.Keys[index%len(g.opts.Keys)]),
		option.WithHTTPClient(httpClient{g.opts.Transport}),
		option.WithMaxRetries(0),
		option.WithHeader("Idempotency-Key", fmt.Sprintf("load-%s-%d", g.runID, index)),
	)
	params := openai.ChatCompletionNewParams{
		Model:     g.opts.Model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(int64(g.opts.MaxTokens)),
	}
	var got response
	var text string
	if g.opts.Stream {
		got, text = requestStreamed(ctx, client, params, due)
	} else {
		got, text = requestUnstreamed(ctx, client, params, due)
	}
	got.total = time.Since(due)
	if got.outcome == OutcomeComplete && g.opts.Verify != nil && !g.opts.Verify(prompt, text) {
		got.outcome = OutcomeWrong
	}
	return got
}

// requestUnstreamed sends a request without streaming. Its response is complete when
// it has a finish reason and token usage.
func requestUnstreamed(ctx context.Context, client openai.Client, params openai.ChatCompletionNewParams, due time.Time) (response, string) {
	completion, err := client.Chat.Completions.New(ctx, params)
	if err != nil {
		return outcomeOfError(err, false), ""
	}
	got := response{outcome: OutcomeIncomplete, firstToken: time.Since(due), tokens: completion.Usage.CompletionTokens}
	if len(completion.Choices) == 0 {
		return got, ""
	}
	choice := completion.Choices[0]
	if choice.FinishReason != "" && got.tokens > 0 {
		got.outcome = OutcomeComplete
	}
	return got, choice.Message.Content
}

// requestStreamed sends a streamed request. Its response is complete when it has a
// finish reason and token usage; a stream that was cut short lacks the usage, which
// comes last.
func requestStreamed(ctx context.Context, client openai.Client, params openai.ChatCompletionNewParams, due time.Time) (response, string) {
	params.StreamOptions.IncludeUsage = openai.Bool(true)
	chunks := client.Chat.Completions.NewStreaming(ctx, params)
	defer func() { _ = chunks.Close() }()
	got := response{outcome: OutcomeIncomplete}
	var text strings.Builder
	finished := false
	for chunks.Next() {
		chunk := chunks.Current()
		got.tokens = max(got.tokens, chunk.Usage.CompletionTokens)
		if len(chunk.Choices) == 0 {
			continue
		}
		choice := chunk.Choices[0]
		if got.firstToken == 0 && choice.Delta.Content != "" {
			got.firstToken = time.Since(due)
		}
		text.WriteString(choice.Delta.Content)
		finished = finished || choice.FinishReason != ""
	}
	if err := chunks.Err(); err != nil {
		return outcomeOfError(err, got.firstToken > 0), ""
	}
	if finished && got.tokens > 0 {
		got.outcome = OutcomeComplete
	}
	return got, text.String()
}

// outcomeOfError returns the outcome of a request that ended in err: a refusal, an
// incomplete response (if one had started) or no response.
func outcomeOfError(err error, started bool) response {
	var refused *openai.Error
	switch {
	case errors.As(err, &refused) && refused.Code != "":
		return response{refusal: refused.Code}
	case errors.As(err, &refused):
		return response{refusal: fmt.Sprintf("status_%d", refused.StatusCode)}
	case started:
		return response{outcome: OutcomeIncomplete}
	default:
		return response{outcome: OutcomeNoResponse}
	}
}
