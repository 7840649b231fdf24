package engine

import (
	"encoding/json"
	"strconv"
)

// ChatOptions are the parameters of a chat completion request that the agent
// sets.
type ChatOptions struct {
	// MaxOutputTokens limits the generated tokens of all choices together; 0 keeps
	// the request's own limit.
	MaxOutputTokens int64
	Stream          bool
	// Priority is sent to the engine unless it is 0. Higher priorities are served
	// first.
	Priority int32
}

// PrepareChat returns the body of a chat completion request with opts applied.
// The token limits are reduced so that all choices together generate at most
// MaxOutputTokens, and a stream reports its usage in every chunk. Errors have
// KindMalformed.
func PrepareChat(body []byte, opts ChatOptions) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil || fields == nil {
		return nil, malformedError("the body is not a JSON object", err)
	}
	if err := limitOutputTokens(fields, opts.MaxOutputTokens); err != nil {
		return nil, err
	}
	fields["stream"] = json.RawMessage(strconv.FormatBool(opts.Stream))
	delete(fields, "stream_options")
	if opts.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true,"continuous_usage_stats":true}`)
	}
	if opts.Priority != 0 {
		fields["priority"] = encodeInteger(int64(opts.Priority))
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return nil, malformedError("the body can't be encoded", err)
	}
	return out, nil
}

// limitOutputTokens reduces the token limits in fields so that all choices
// together generate at most limit tokens, and adds one if there is none.
func limitOutputTokens(fields map[string]json.RawMessage, limit int64) error {
	if limit <= 0 {
		return nil
	}
	choices, _, err := integerField(fields, "n")
	if err != nil {
		return err
	}
	limit /= max(choices, 1)
	if limit == 0 {
		return malformedError("more choices than output tokens", nil)
	}
	given := false
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		value, ok, err := integerField(fields, name)
		if err != nil {
			return err
		}
		if ok {
			given = true
			fields[name] = encodeInteger(min(max(value, 1), limit))
		}
	}
	if !given {
		fields["max_tokens"] = encodeInteger(limit)
	}
	return nil
}

// integerField returns an integer field; ok is false if it is absent or null.
func integerField(fields map[string]json.RawMessage, name string) (value int64, ok bool, err error) {
	raw, ok := fields[name]
	if !ok || string(raw) == "null" {
		return 0, false, nil
	}
	if err := json.Unmarshal(raw, &value); err != nil {
		return 0, false, malformedError(name+" is not a whole number", err)
	}
	return value, true, nil
}

func encodeInteger(value int64) json.RawMessage {
	return json.RawMessage(strconv.FormatInt(value, 10))
}

func malformedError(detail string, cause error) error {
	return &Error{Op: "prepare", Kind: KindMalformed, Detail: detail, Cause: cause}
}
