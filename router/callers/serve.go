package callers

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	pb "jackdawswitch/api/jackdawv1"
	"jackdawswitch/claim"
	"jackdawswitch/config"
	"jackdawswitch/refusal"
	"jackdawswitch/router/dispatch"
)

// chat serves POST /v1/chat/completions.
func (s *Server) chat(x *exchange) error {
	doc, version, workspace, err := s.authenticate(x)
	if err != nil {
		return err
	}
	body, err := s.readBody(x, doc.Rules.Requests.MaxBodyBytes)
	if err != nil {
		return err
	}
	parsed, err := parseChat(body)
	if err != nil {
		return err
	}
	service, model := findModel(doc, parsed.Model)
	if model == nil {
		return refusal.NotRun(refusal.CauseUnknownModel, "no model %q", parsed.Model)
	}
	req, err := s.newRequest(x, doc, version, workspace, body)
	if err != nil {
		return err
	}
	promptTokens := int64(len(body))
	req.Service = service.ID
	req.Model = model.ID
	req.Path = chatPath
	req.ContentType = "application/json"
	req.Stream = parsed.Stream
	req.Repeatable = true
	req.InputPrice = model.InputPrice
	req.OutputPrice = model.OutputPrice
	req.MaxOutputTokens = parsed.maxOutputTokens(model)
	req.Tokens = promptTokens + req.MaxOutputTokens
	req.Credits = promptTokens*model.InputPrice + req.MaxOutputTokens*model.OutputPrice
	req.PrefixHash = prefixHash(body, doc.Rules.Routing.AffinityPrefixBytes)
	req.Priority = priorityOf(doc, workspace.ID, service.ID)
	return s.dispatch(x, req)
}

// serviceCall serves a call of a plain service.
func (s *Server) serviceCall(x *exchange) error {
	doc, version, workspace, err := s.authenticate(x)
	if err != nil {
		return err
	}
	service, call := findCall(doc, x.service, x.request.Method, x.path)
	if call == nil {
		return refusal.NotRun(refusal.CauseUnknownCall, "service %q has no call %s %s", x.service, x.request.Method, x.path)
	}
	if !call.Repeatable && x.request.Header.Get(headerIdempotencyKey) == "" {
		return refusal.NotRun(refusal.CauseMalformedRequest, "a call that is not repeatable needs the %s header", headerIdempotencyKey)
	}
	body, err := s.readBody(x, doc.Rules.Requests.MaxBodyBytes)
	if err != nil {
		return err
	}
	req, err := s.newRequest(x, doc, version, workspace, body)
	if err != nil {
		return err
	}
	req.Service = service.ID
	req.Path = x.path
	if query := x.request.URL.RawQuery; query != "" {
		req.Path += "?" + query
	}
	req.ContentType = x.request.Header.Get("Content-Type")
	req.Repeatable = call.Repeatable
	req.Credits = call.Price
	req.Tokens = 1
	req.Priority = priorityOf(doc, workspace.ID, service.ID)
	return s.dispatch(x, req)
}

// newRequest returns a request with the fields that chat completions and service
// calls have in common. It generates an idempotency key if the caller sent none.
func (s *Server) newRequest(
	x *exchange, doc *config.Document, version uint64, workspace *config.Workspace, body []byte,
) (*dispatch.Request, error) {
	key := x.request.Header.Get(headerIdempotencyKey)
	if len(key) > claim.MaxKeyBytes {
		return nil, refusal.NotRun(refusal.CauseMalformedRequest, "the idempotency key is longer than %d bytes", claim.MaxKeyBytes)
	}
	generated := key == ""
	if strings.HasPrefix(key, claim.GeneratedPrefix) {
		return nil, refusal.NotRun(refusal.CauseMalformedRequest, "an idempotency key must not begin with %q", claim.GeneratedPrefix)
	}
	if generated {
		key = claim.GeneratedPrefix + rand.Text()
	}
	now := time.Now()
	limits := &doc.Rules.Requests
	return &dispatch.Request{
		ID:            x.id,
		Workspace:     workspace.ID,
		Key:           key,
		GeneratedKey:  generated,
		Partition:     partitionOf(workspace, key),
		Method:        x.request.Method,
		Body:          body,
		BodyHash:      bodyHash(x.request, body),
		Deadline:      now.Add(config.Seconds(limits.DeadlineSeconds)),
		QueueDeadline: now.Add(config.Seconds(limits.QueueSeconds)),
		MaxAttempts:   max(doc.Rules.Routing.Attempts, 1),
		ConfigVersion: version,
	}, nil
}

// partitionOf returns the partition of the workspace that key belongs to.
func partitionOf(workspace *config.Workspace, key string) *pb.Partition {
	fullKey := claim.Key{Workspace: workspace.ID, Name: key}
	return &pb.Partition{
		Workspace: workspace.ID,
		Index:     fullKey.Partition(workspace.Partitions),
	}
}

// bodyHash hashes the method, the URI and the body. Two requests with the same
// idempotency key and different hashes are in conflict.
func bodyHash(r *http.Request, body []byte) []byte {
	hash := sha256.New()
	_, _ = io.WriteString(hash, r.Method+" "+r.URL.RequestURI()+"\n")
	_, _ = hash.Write(body)
	return hash.Sum(nil)
}

// prefixHash hashes at most the first length bytes of the body for prefix affinity;
// it is 0 when length is not positive.
func prefixHash(body []byte, length int) uint64 {
	if length <= 0 {
		return 0
	}
	return xxh3.Hash(body[:min(length, len(body))])
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models serves GET /v1/models.
func (s *Server) models(x *exchange) error {
	doc, _, _, err := s.authenticate(x)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, service := range doc.Register.Services {
		for _, model := range service.Models {
			list.Data = append(list.Data, modelEntry{ID: model.ID, Object: "model", OwnedBy: service.ID})
		}
	}
	x.writer.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(x.writer).Encode(list)
}
