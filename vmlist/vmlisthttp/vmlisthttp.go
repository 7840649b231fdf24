// Package vmlisthttp is the HTTP/JSON client of the platform's VM list.
package vmlisthttp

import (
	"context"
	"encoding/json"
	"net/http"

	"jackdawswitch/storage"
	"jackdawswitch/storage/httpcall"
	"jackdawswitch/storage/wire"
	"jackdawswitch/vmlist"
)

// Options configures the client.
type Options = httpcall.Options

// Client implements vmlist.List. It is safe for concurrent use.
type Client struct {
	calls *httpcall.Client
}

var _ vmlist.List = (*Client)(nil)

// New returns a client of the VM list at baseURL.
func New(baseURL string, opts Options) *Client {
	return &Client{calls: httpcall.New(baseURL, opts)}
}

// VMs implements vmlist.List.
func (c *Client) VMs(ctx context.Context) (vmlist.Snapshot, error) {
	call := httpcall.Call{Op: "vmlist.get", Method: http.MethodGet, Path: wire.PathVMs}
	response, err := c.calls.Do(ctx, call)
	if err != nil {
		return vmlist.Snapshot{}, err
	}
	var snapshot vmlist.Snapshot
	if err := json.Unmarshal(response, &snapshot); err != nil {
		return vmlist.Snapshot{}, &storage.Error{Op: call.Op, Kind: storage.KindUnavailable, Cause: err}
	}
	return snapshot, nil
}
