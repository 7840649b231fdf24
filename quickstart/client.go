package quickstart

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"jackdawswitch/standin"
)

// Client is a caller of the layout's router.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a caller of the router at the base URL.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{}}
}

// NewClientOver returns a caller that sends over transport.
func NewClientOver(base string, transport http.RoundTripper) *Client {
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// StatusError is an answer that is not 200.
type StatusError struct {
	Status int
	Body   string
	// RetryAfter is the header of that name.
	RetryAfter string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("quickstart: status %d: %s", e.Status, e.Body)
}

// AnswerError tells that an answer is not the one that its request has.
type AnswerError struct{ Got, Want string }

// Error implements error.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("quickstart: got answer %q, want %q", e.Got, e.Want)
}

// ChatBody returns a chat completions request.
func ChatBody(prompt string, maxTokens int, stream bool) []byte {
	body, err := json.Marshal(map[string]any{
		"model":      Model,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
		"max_tokens": maxTokens,
		"stream":     stream,
	})
	if err != nil {
		return nil
	}
	return body
}

// Do sends one request with the layout's API key. An empty key sends no
// idempotency key. The answer's status is 200.
func (c *Client) Do(ctx context.Context, method, path, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+APIKey)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		text, _ := io.ReadAll(resp.Body)
		return nil, &StatusError{
			Status:     resp.StatusCode,
			Body:       string(text),
			RetryAfter: resp.Header.Get("Retry-After"),
		}
	}
	return resp, nil
}

// Probe sends the smallest request of each kind that needs the whole path.
func (c *Client) Probe(ctx context.Context) error {
	if _, err := c.Chat(ctx, "", "ready?", 1); err != nil {
		return err
	}
	_, err := c.Call(ctx, http.MethodGet, "/stock/probe", "", nil)
	return err
}

// Chat sends a whole chat request, checks that the answer is its own, and
// returns its text.
func (c *Client) Chat(ctx context.Context, key, prompt string, maxTokens int) (string, error) {
	body := ChatBody(prompt, maxTokens, false)
	resp, err := c.Do(ctx, http.MethodPost, "/v1/chat/completions", key, body)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return "", errors.WithStack(err)
	}
	if len(answer.Choices) != 1 {
		return "", &AnswerError{Want: "one choice"}
	}
	return checked(body, answer.Choices[0].Message.Content)
}

// Stream sends a streamed chat request, passes each part to show, checks that
// the answer is its own, and returns its text.
func (c *Client) Stream(ctx context.Context, key, prompt string, maxTokens int, show func(part string)) (string, error) {
	body := ChatBody(prompt, maxTokens, true)
	resp, err := c.Do(ctx, http.MethodPost, "/v1/chat/completions", key, body)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := readStream(resp.Body, show)
	if err != nil {
		return text, err
	}
	return checked(body, text)
}

// BrokenStreamError tells that a stream ended before its last event.
type BrokenStreamError struct{ Event string }

// Error implements error.
func (e *BrokenStreamError) Error() string { return "quickstart: stream broken: " + e.Event }

func readStream(from io.Reader, show func(part string)) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
			Error json.RawMessage `json:"error"`
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil || event.Error != nil {
			return text.String(), &BrokenStreamError{Event: data}
		}
		for _, choice := range event.Choices {
			text.WriteString(choice.Delta.Content)
			show(choice.Delta.Content)
		}
	}
	return text.String(), &BrokenStreamError{Event: "no last event"}
}

// checked returns the text if it is the answer that the request has.
func checked(body []byte, text string) (string, error) {
	want, err := standin.ExpectedAnswer(body)
	if err != nil {
		return "", err
	}
	if text != want.Text() {
		return "", &AnswerError{Got: text, Want: want.Text()}
	}
	return text, nil
}

// Call calls the layout's plain service and returns the answer.
func (c *Client) Call(ctx context.Context, method, path, key string, body []byte) (string, error) {
	resp, err := c.Do(ctx, method, "/services/"+PlainService+path, key, body)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return string(text), errors.WithStack(err)
}
