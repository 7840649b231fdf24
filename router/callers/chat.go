package callers

import (
	"encoding/json"

	"jackdawswitch/config"
	"jackdawswitch/refusal"
)

const chatPath = "/v1/chat/completions"

// chatRequest holds the fields of a chat completions request that the router
// reads. The engine gets the body as the caller sent it.
type chatRequest struct {
	Model               string            `json:"model"`
	Stream              bool              `json:"stream"`
	Messages            []json.RawMessage `json:"messages"`
	Choices             *int64            `json:"n"`
	MaxTokens           *int64            `json:"max_tokens"`
	MaxCompletionTokens *int64            `json:"max_completion_tokens"`
}

// parseChat decodes and validates a request body.
func parseChat(body []byte) (*chatRequest, error) {
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, refusal.NotRun(refusal.CauseMalformedRequest, "the body is not a chat completions request").WithError(err)
	}
	if req.Model == "" {
		return nil, refusal.NotRun(refusal.CauseMalformedRequest, "model is required")
	}
	if len(req.Messages) == 0 {
		return nil, refusal.NotRun(refusal.CauseMalformedRequest, "messages must not be empty")
	}
	if req.Choices != nil && *req.Choices != 1 {
		return nil, refusal.NotRun(refusal.CauseMalformedRequest, "n must be 1")
	}
	for _, limit := range []*int64{req.MaxTokens, req.MaxCompletionTokens} {
		if limit != nil && *limit < 1 {
			return nil, refusal.NotRun(refusal.CauseMalformedRequest, "the token limit must be at least 1")
		}
	}
	return &req, nil
}

// maxOutputTokens returns the maximum number of tokens that the request may
// generate: the lower of the model's limit and the limits in the request.
func (r *chatRequest) maxOutputTokens(model *config.Model) int64 {
	limit := model.MaxOutputTokens
	for _, requested := range []*int64{r.MaxTokens, r.MaxCompletionTokens} {
		if requested != nil {
			limit = min(limit, *requested)
		}
	}
	return limit
}
