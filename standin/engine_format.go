package standin

import (
	"encoding/json"
	"strconv"

	"github.com/zeebo/xxh3"
)

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func newUsage(prompt, completion int) *usage {
	return &usage{PromptTokens: prompt, CompletionTokens: completion, TotalTokens: prompt + completion}
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// formatter encodes an answer in the format of the OpenAI chat completions API.
type formatter struct {
	req    ChatRequest
	answer Answer
	id     string
}

func newFormatter(req ChatRequest) formatter {
	return formatter{
		req:    req,
		answer: answerTo(req),
		id:     "chatcmpl-" + strconv.FormatUint(xxh3.HashString(req.Prompt()), 16),
	}
}

func (f formatter) contentType() string {
	if f.req.Stream {
		return "text/event-stream"
	}
	return "application/json"
}

// word returns the event to send when the word at index has been generated; nil
// if the request is not streamed.
func (f formatter) word(index int) []byte {
	if !f.req.Stream {
		return nil
	}
	part := choice{Delta: &delta{Content: f.answer.Words[index]}}
	if index == 0 {
		part.Delta.Role = "assistant"
	}
	if index == len(f.answer.Words)-1 {
		part.FinishReason = &f.answer.FinishReason
	}
	msg := f.newCompletion("chat.completion.chunk", []choice{part})
	if f.req.StreamOptions.ContinuousUsageStats {
		msg.Usage = newUsage(f.answer.PromptTokens, index+1)
	}
	return encodeEvent(msg)
}

// end returns what to send after the last word: the end of a stream, or the
// complete response if the request is not streamed.
func (f formatter) end() []byte {
	total := newUsage(f.answer.PromptTokens, f.answer.CompletionTokens)
	if !f.req.Stream {
		msg := f.newCompletion("chat.completion", []choice{{
			Message:      &delta{Role: "assistant", Content: f.answer.Text()},
			FinishReason: &f.answer.FinishReason,
		}})
		msg.Usage = total
		return marshal(msg)
	}
	var out []byte
	if f.req.StreamOptions.IncludeUsage {
		msg := f.newCompletion("chat.completion.chunk", []choice{})
		msg.Usage = total
		out = encodeEvent(msg)
	}
	return append(out, "data: [DONE]\n\n"...)
}

func (f formatter) newCompletion(object string, choices []choice) completion {
	return completion{ID: f.id, Object: object, Model: f.req.Model, Choices: choices}
}

// encodeEvent encodes msg as a server-sent event.
func encodeEvent(msg completion) []byte {
	out := append([]byte("data: "), marshal(msg)...)
	return append(out, "\n\n"...)
}

// marshal encodes a message of this package. It panics on failure, which these
// types never cause.
func marshal(value any) []byte {
	out, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return out
}
