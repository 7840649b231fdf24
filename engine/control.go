package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
)

// Load is the load that the engine publishes, in requests.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is the number of requests that can run at once.
	Slots int `json:"slots"`
	// AgeMS is the age of the values in milliseconds.
	AgeMS int64 `json:"ageMs"`
}

// Load fetches the engine's published load.
func (c *Client) Load(ctx context.Context) (Load, error) {
	var load Load
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	err := c.callControl(ctx, "load", http.MethodGet, "/v1/load", nil, &load)
	return load, err
}

// Models fetches the names of the models that the engine has loaded.
func (c *Client) Models(ctx context.Context) ([]string, error) {
	var msg struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	if err := c.callControl(ctx, "models", http.MethodGet, "/v1/models", nil, &msg); err != nil {
		return nil, err
	}
	names := make([]string, 0, len(msg.Data))
	for _, model := range msg.Data {
		names = append(names, model.ID)
	}
	return names, nil
}

// CacheEvent reports that a prompt prefix was added to the engine's prefix cache
// or evicted from it.
type CacheEvent struct {
	// Sequence increases by one with each event; a missing number means that an
	// event was lost.
	Sequence uint64 `json:"sequence"`
	// Hash identifies the prefix.
	Hash    uint64 `json:"hash"`
	Evicted bool   `json:"evicted"`
}

// Order is a placement order to the engine.
type Order struct {
	// Fence is the fencing number of the lease under which the order was given.
	Fence uint64 `json:"fence"`
	// Kind is load_model, unload_model, load_adapter, unload_adapter or
	// set_role.
	Kind string `json:"kind"`
	// Name is the model or adapter, or the role for set_role.
	Name    string `json:"name"`
	Version string `json:"version,omitempty"`
}

// SendOrder sends the engine an order and returns once it is carried out. The
// error has KindFenced if the engine has seen a higher fencing number.
func (c *Client) SendOrder(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return &Error{Op: "order", Kind: KindMalformed, Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.callControl(ctx, "order", http.MethodPost, "/v1/orders", body, nil)
}

// callControl sends a request to the control API. It decodes the JSON response
// and stores it in the value that into points to; nil ignores the response.
func (c *Client) callControl(ctx context.Context, op, method, path string, body []byte, into any) error {
	header := make(http.Header)
	header.Set("Content-Type", "application/json")
	resp, err := c.send(ctx, op, method, path, header, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return statusError(op, resp)
	}
	response, err := io.ReadAll(io.LimitReader(resp.Body, maxControlBytes))
	if err != nil {
		return connectionError(ctx, op, err)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(response, into); err != nil {
		return &Error{Op: op, Kind: KindFailed, Cause: err}
	}
	return nil
}
