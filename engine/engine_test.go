package engine_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"jackdawswitch/engine"
)

// fixedTransport returns the same response, or error, for every request.
type fixedTransport struct {
	status int
	body   string
	err    error
}

func (t fixedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.err != nil {
		return nil, t.err
	}
	return &http.Response{
		StatusCode: t.status,
		Header:     http.Header{"Content-Type": {"text/event-stream"}},
		Body:       io.NopCloser(strings.NewReader(t.body)),
		Request:    req,
	}, nil
}

// sink records a response.
type sink struct {
	bytes.Buffer
	status int
}

func (s *sink) Start(status int, _ string) { s.status = status }

const (
	event = "data: {\"choices\":[{\"delta\":{\"content\":\"w\"}}]," +
		"\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\n"
	done = "data: [DONE]\n\n"
)

// Each way in which a chat request can end must be returned with the right error
// kind, status and usage; an incomplete response must not count as complete.
func TestChatEnds(t *testing.T) {
	tests := []struct {
		name      string
		transport fixedTransport
		stream    bool
		kind      engine.Kind
		status    int
		usage     int64
	}{
		{name: "complete stream", transport: fixedTransport{status: 200, body: event + done}, stream: true, status: 200, usage: 1},
		{name: "incomplete stream", transport: fixedTransport{status: 200, body: event}, stream: true, kind: engine.KindBroken, status: 200, usage: 1},
		{name: "empty stream", transport: fixedTransport{status: 200}, stream: true, kind: engine.KindBroken, status: 200},
		{name: "incomplete response", transport: fixedTransport{status: 200, body: `{"usage":{"prompt`}, kind: engine.KindBroken, status: 200},
		{name: "refused", transport: fixedTransport{status: 429}, kind: engine.KindRefused},
		{name: "unavailable", transport: fixedTransport{status: 503}, kind: engine.KindRefused},
		{name: "failed", transport: fixedTransport{status: 500}, kind: engine.KindFailed},
		{name: "bad request", transport: fixedTransport{status: 400, body: "{}"}, status: 400},
		{name: "connection lost", transport: fixedTransport{err: &net.OpError{Op: "read", Err: io.ErrUnexpectedEOF}}, kind: engine.KindBroken},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := engine.New("http://engine", engine.Options{Transport: test.transport})
			var got sink
			result, err := client.Chat(t.Context(), engine.ChatRequest{ID: "a", Stream: test.stream}, &got)
			if test.kind == "" && err != nil || test.kind != "" && !engine.IsKind(err, test.kind) {
				t.Errorf("got error %v, want kind %q", err, test.kind)
			}
			if got.status != test.status || result.Usage.CompletionTokens != test.usage {
				t.Errorf("got status %d and usage %v, want status %d and %d completion tokens", got.status, result.Usage, test.status, test.usage)
			}
			if test.status != 0 && got.String() != test.transport.body {
				t.Errorf("sink received %q, want %q", got.String(), test.transport.body)
			}
		})
	}
}

// A refused connection must be reported as not sent, so that the request can be
// retried elsewhere.
func TestUnreachableEndpointIsNotSent(t *testing.T) {
	transport := &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Err: io.EOF}
		},
	}
	client := engine.New("http://engine", engine.Options{Transport: transport})
	_, err := client.Call(t.Context(), engine.CallRequest{ID: "a", Method: http.MethodPost, Path: "/book"}, &sink{})
	if !engine.IsKind(err, engine.KindNotSent) {
		t.Errorf("got error %v, want kind not_sent", err)
	}
}

func TestPrepareChat(t *testing.T) {
	tests := []struct {
		body string
		opts engine.ChatOptions
		want string
	}{
		{`{"model":"m"}`, engine.ChatOptions{MaxOutputTokens: 9}, `{"max_tokens":9,"model":"m","stream":false}`},
		{`{"max_tokens":4}`, engine.ChatOptions{MaxOutputTokens: 9}, `{"max_tokens":4,"stream":false}`},
		{`{"max_tokens":40}`, engine.ChatOptions{MaxOutputTokens: 9}, `{"max_tokens":9,"stream":false}`},
		{`{"max_tokens":-1}`, engine.ChatOptions{MaxOutputTokens: 9}, `{"max_tokens":1,"stream":false}`},
		{
			`{"max_completion_tokens":40,"max_tokens":null,"n":2}`,
			engine.ChatOptions{MaxOutputTokens: 9},
			`{"max_completion_tokens":4,"max_tokens":null,"n":2,"stream":false}`,
		},
		{
			`{"stream":false,"stream_options":{"include_usage":false}}`,
			engine.ChatOptions{Stream: true, Priority: 3},
			`{"priority":3,"stream":true,"stream_options":{"include_usage":true,"continuous_usage_stats":true}}`,
		},
		{`{"n":20}`, engine.ChatOptions{MaxOutputTokens: 9}, ""},
		{`{"max_tokens":"many"}`, engine.ChatOptions{MaxOutputTokens: 9}, ""},
		{`[]`, engine.ChatOptions{}, ""},
		{`null`, engine.ChatOptions{}, ""},
	}
	for _, test := range tests {
		got, err := engine.PrepareChat([]byte(test.body), test.opts)
		if string(got) != test.want || (test.want == "") != engine.IsKind(err, engine.KindMalformed) {
			t.Errorf("%s: got %s, %v; want %s", test.body, got, err, test.want)
		}
	}
	var engineErr *engine.Error
	if _, err := engine.PrepareChat(nil, engine.ChatOptions{}); !errors.As(err, &engineErr) {
		t.Errorf("empty body: got error %v, want an *engine.Error", err)
	}
}
