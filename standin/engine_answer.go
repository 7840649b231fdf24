package standin

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/zeebo/xxh3"
)

const (
	// An answer without a token limit has at least minAnswerWords tokens and fewer
	// than minAnswerWords + answerWordRange.
	minAnswerWords  = 16
	answerWordRange = 48
)

// Message is one message of a chat completion request.
type Message struct {
	Role    string `json:"role"`
	Content Text   `json:"content"`
}

// Text is the content of a message, which in JSON is a string or a list of parts.
type Text string

// UnmarshalJSON implements json.Unmarshaler.
func (t *Text) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*t = Text(text)
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	for _, part := range parts {
		*t += Text(part.Text)
	}
	return nil
}

// StreamOptions are the options of a streamed completion.
type StreamOptions struct {
	IncludeUsage         bool `json:"include_usage"`
	ContinuousUsageStats bool `json:"continuous_usage_stats"`
}

// ChatRequest holds the fields of a chat completion request that the engine uses.
type ChatRequest struct {
	Model               string        `json:"model"`
	Messages            []Message     `json:"messages"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       StreamOptions `json:"stream_options"`
	Priority            int           `json:"priority"`
}

// Prompt returns the messages as one text.
func (r ChatRequest) Prompt() string {
	var b strings.Builder
	for _, msg := range r.Messages {
		fmt.Fprintf(&b, "%s: %s\n", msg.Role, msg.Content)
	}
	return b.String()
}

// limit returns the request's token limit, 0 if it has none.
func (r ChatRequest) limit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// Answer is the completion that the engine generates for a request.
type Answer struct {
	// Words are the generated tokens. The first contains a checksum of the model
	// and prompt.
	Words            []string
	PromptTokens     int
	CompletionTokens int
	FinishReason     string
}

// Text returns the generated text.
func (a Answer) Text() string { return strings.Join(a.Words, "") }

// ExpectedAnswer returns the engine's answer to a chat completion request with the
// given body. The answer depends only on the model, messages and token limit. An
// error is of type *RequestError.
func ExpectedAnswer(body []byte) (Answer, error) {
	var req ChatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return Answer{}, &RequestError{Cause: err}
	}
	return answerTo(req), nil
}

// RequestError reports a request body that can't be decoded.
type RequestError struct {
	Cause error
}

// Error implements error.
func (e *RequestError) Error() string { return "standin: malformed request: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Cause }

func answerTo(req ChatRequest) Answer {
	prompt := req.Prompt()
	seed := xxh3.HashString(req.Model + "\n" + prompt)
	count := minAnswerWords + int(seed%answerWordRange)
	reason := "stop"
	if limit := req.limit(); limit > 0 && limit < count {
		count = limit
		reason = "length"
	}
	words := make([]string, count)
	for i := range words {
		words[i] = answerWord(seed, i)
	}
	return Answer{
		Words:            words,
		PromptTokens:     len(strings.Fields(prompt)),
		CompletionTokens: count,
		FinishReason:     reason,
	}
}

// answerWord returns the token at index of the answer with the given seed.
func answerWord(seed uint64, index int) string {
	if index == 0 {
		return "checksum-" + strconv.FormatUint(seed, 16)
	}
	hash := xxh3.HashString(strconv.FormatUint(seed, 16) + "/" + strconv.Itoa(index))
	return " w" + strconv.FormatUint(hash%100000, 36)
}
