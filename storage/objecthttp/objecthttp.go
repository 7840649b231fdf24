// Package objecthttp is the HTTP client of the platform's object store.
package objecthttp

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"jackdawswitch/storage"
	"jackdawswitch/storage/httpcall"
	"jackdawswitch/storage/wire"
)

// Options configures the client.
type Options = httpcall.Options

// Client implements storage.ObjectStore. It is safe for concurrent use.
type Client struct {
	calls *httpcall.Client
}

var _ storage.ObjectStore = (*Client)(nil)

// New returns a client of the object store at baseURL.
func New(baseURL string, opts Options) *Client {
	return &Client{calls: httpcall.New(baseURL, opts)}
}

// PutIfAbsent implements storage.ObjectStore. Objects are immutable, so a put
// can be repeated safely. If the outcome is unknown, the stored object is
// compared with data. That includes a conflict after an attempt whose response
// was lost, because the conflicting object can be the one that it stored.
func (c *Client) PutIfAbsent(ctx context.Context, key string, data []byte) error {
	header := make(http.Header)
	header.Set("If-None-Match", "*")
	header.Set("Content-Type", "application/octet-stream")
	call := httpcall.Call{
		Op:         "object.put",
		Key:        key,
		Method:     http.MethodPut,
		Path:       objectPath(key),
		Header:     header,
		Body:       data,
		Write:      true,
		Repeatable: true,
	}
	_, err := c.calls.Do(ctx, call)
	if err == nil {
		return nil
	}
	if storage.OutcomeOf(err) == storage.OutcomeAborted {
		return err
	}
	return c.resolve(ctx, call, data, err)
}

// resolve reads the object back after a put with an unknown outcome: equal data
// means success, other data a conflict.
func (c *Client) resolve(ctx context.Context, call httpcall.Call, data []byte, cause error) error {
	storageErr := &storage.Error{
		Op: call.Op, Kind: storage.KindUnavailable, Outcome: storage.OutcomeUnknown, Key: call.Key, Cause: cause,
	}
	stored, err := c.Get(ctx, call.Key)
	if err != nil {
		return storageErr
	}
	if bytes.Equal(stored, data) {
		return nil
	}
	storageErr.Kind = storage.KindConflict
	storageErr.Outcome = storage.OutcomeAborted
	return storageErr
}

// Get implements storage.ObjectStore.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	call := httpcall.Call{Op: "object.get", Key: key, Method: http.MethodGet, Path: objectPath(key)}
	response, err := c.calls.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	return response, nil
}

// List implements storage.ObjectStore.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	query := url.Values{}
	query.Set(wire.ParamPrefix, prefix)
	query.Set(wire.ParamAfter, after)
	query.Set(wire.ParamLimit, strconv.Itoa(limit))
	call := httpcall.Call{
		Op: "object.list", Key: prefix, Method: http.MethodGet, Path: wire.PathObjects + "?" + query.Encode(),
	}
	response, err := c.calls.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	var msg wire.Keys
	if err := json.Unmarshal(response, &msg); err != nil {
		return nil, &storage.Error{Op: call.Op, Kind: storage.KindUnavailable, Key: prefix, Cause: err}
	}
	return msg.Keys, nil
}

func objectPath(key string) string {
	return wire.PathObjects + url.PathEscape(key)
}
