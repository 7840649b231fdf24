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

// Client sends requests to a router of the layout, as a caller does.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// NewClient returns a client of the router at the base URL.
func NewClient(base string) *Client {
	return &Client{baseURL: base, httpClient: &http.Client{}}
}

// NewClientWithTransport returns a client of the router at the base URL that uses
// transport.
func NewClientWithTransport(base string, transport http.RoundTripper) *Client {
	return &Client{baseURL: base, httpClient: &http.Client{Transport: transport}}
}

// StatusError reports a response with another status than 200.
type StatusError struct {
	Status int
	Body   string
	// RetryAfter is the value of the Retry-After header.
	RetryAfter string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("quickstart: router responded with status %d: %s", e.Status, e.Body)
}

// WrongTextError reports a response whose text is not the text that the stand-in
// engine generates for the request.
type WrongTextError struct{ Got, Want string }

// Error implements error.
func (e *WrongTextError) Error() string {
	return fmt.Sprintf("quickstart: got response text %q, want %q", e.Got, e.Want)
}

// ChatBody returns the JSON body of a chat completions request.
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

// Do sends one request with the layout's API key, and with key as idempotency
// key unless it is empty. It returns a *StatusError if the status is not 200. The
// caller closes the response's body.
func (c *Client) Do(ctx context.Context, method, path, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+APIKey)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.httpClient.Do(req)
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

// Probe sends a minimal request to a model and to the plain service. It returns
// nil once the router, an agent and an endpoint serve both.
func (c *Client) Probe(ctx context.Context) error {
	if _, err := c.Chat(ctx, "", "ready?", 1); err != nil {
		return err
	}
	_, err := c.CallPlainService(ctx, http.MethodGet, "/stock/probe", "", nil)
	return err
}

// Chat sends a chat request that is not streamed and returns the text of the
// response. It returns a *WrongTextError if the text is not that of this request.
func (c *Client) Chat(ctx context.Context, key, prompt string, maxTokens int) (string, error) {
	body := ChatBody(prompt, maxTokens, false)
	resp, err := c.Do(ctx, http.MethodPost, "/v1/chat/completions", key, body)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	var response struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return "", errors.WithStack(err)
	}
	if len(response.Choices) != 1 {
		return "", &WrongTextError{Want: "one choice"}
	}
	return verifyText(body, response.Choices[0].Message.Content)
}

// StreamChat sends a streamed chat request, passes each part of the text to
// onPart, and returns the complete text. It returns a *WrongTextError if the text
// is not that of this request, and an *IncompleteStreamError if the stream is
// incomplete.
func (c *Client) StreamChat(ctx context.Context, key, prompt string, maxTokens int, onPart func(part string)) (string, error) {
	body := ChatBody(prompt, maxTokens, true)
	resp, err := c.Do(ctx, http.MethodPost, "/v1/chat/completions", key, body)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := readStream(resp.Body, onPart)
	if err != nil {
		return text, err
	}
	return verifyText(body, text)
}

// IncompleteStreamError reports that a stream ended before its last event. Event
// is the error event or invalid event that ended it, or a note that there was
// none.
type IncompleteStreamError struct{ Event string }

// Error implements error.
func (e *IncompleteStreamError) Error() string { return "quickstart: incomplete stream: " + e.Event }

func readStream(body io.Reader, onPart func(part string)) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
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
			return text.String(), &IncompleteStreamError{Event: data}
		}
		for _, choice := range event.Choices {
			text.WriteString(choice.Delta.Content)
			onPart(choice.Delta.Content)
		}
	}
	return text.String(), &IncompleteStreamError{Event: "stream ended before [DONE]"}
}

// verifyText returns text if it is the text that the stand-in engine generates
// for the request body, and a *WrongTextError otherwise.
func verifyText(body []byte, text string) (string, error) {
	want, err := standin.ExpectedAnswer(body)
	if err != nil {
		return "", err
	}
	if text != want.Text() {
		return "", &WrongTextError{Got: text, Want: want.Text()}
	}
	return text, nil
}

// CallPlainService sends a request to the layout's plain service and returns the
// response body.
func (c *Client) CallPlainService(ctx context.Context, method, path, key string, body []byte) (string, error) {
	resp, err := c.Do(ctx, method, "/services/"+PlainService+path, key, body)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return string(text), errors.WithStack(err)
}
