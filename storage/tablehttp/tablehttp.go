// Package tablehttp is the HTTP/JSON client of the platform's table.
package tablehttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jackdawswitch/storage"
	"jackdawswitch/storage/httpcall"
	"jackdawswitch/storage/wire"
)

const (
	// watchTimeout is how long the server may hold one watch request.
	watchTimeout = 20 * time.Second
	// watchTimeoutMargin is added to watchTimeout for the client's timeout.
	watchTimeoutMargin = 5 * time.Second
	// minWatchInterval is the delay after a watch request that returned without
	// rows in less than this time.
	minWatchInterval = 500 * time.Millisecond
)

// Options configures the client.
type Options = httpcall.Options

// Client implements storage.Table. It is safe for concurrent use.
type Client struct {
	calls *httpcall.Client
}

var _ storage.Table = (*Client)(nil)

// New returns a client of the table at baseURL.
func New(baseURL string, opts Options) *Client {
	return &Client{calls: httpcall.New(baseURL, opts)}
}

// Commit implements storage.Table. After an attempt with an unknown outcome it
// retries only a transaction that is safe to commit again, see
// storage.Transaction.ID. It resolves an outcome that is still unknown by reading
// the rows back.
func (c *Client) Commit(ctx context.Context, txn storage.Transaction) (storage.Commit, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return storage.Commit{}, encodeError("table.commit", err)
	}
	call := httpcall.Call{
		Op:         "table.commit",
		Key:        firstKey(txn),
		Method:     http.MethodPost,
		Path:       wire.PathCommit,
		Body:       body,
		Write:      true,
		Repeatable: repeatable(txn),
	}
	response, err := c.calls.Do(ctx, call)
	if err == nil {
		var commit storage.Commit
		if err := json.Unmarshal(response, &commit); err != nil {
			return storage.Commit{}, decodeError(call, err)
		}
		return commit, nil
	}
	if storage.OutcomeOf(err) == storage.OutcomeAborted {
		return storage.Commit{}, err
	}
	return c.resolve(ctx, txn, err)
}

// resolve reads rows back to determine whether a transaction that failed with
// an unknown outcome took effect.
func (c *Client) resolve(ctx context.Context, txn storage.Transaction, cause error) (storage.Commit, error) {
	var storageErr *storage.Error
	if !errors.As(cause, &storageErr) {
		storageErr = &storage.Error{Op: "table.commit", Kind: storage.KindUnavailable, Cause: cause}
	}
	unresolved := *storageErr
	unresolved.Outcome = storage.OutcomeUnknown
	rows, err := c.Get(ctx, affectedKeys(txn)...)
	if err != nil {
		return storage.Commit{}, &unresolved
	}
	result := resolveFromRows(txn, rows)
	switch result.outcome {
	case storage.OutcomeCommitted:
		return storage.Commit{Version: result.version}, nil
	case storage.OutcomeAborted:
		return storage.Commit{}, &storage.Error{
			Op: storageErr.Op, Kind: storage.KindConflict, Outcome: storage.OutcomeAborted, Key: result.key, Cause: cause,
		}
	default:
		return storage.Commit{}, &unresolved
	}
}

// Get implements storage.Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]storage.Row, error) {
	if len(keys) == 0 {
		return nil, nil
	}
	body, err := json.Marshal(wire.GetRequest{Keys: keys})
	if err != nil {
		return nil, encodeError("table.get", err)
	}
	call := httpcall.Call{
		Op: "table.get", Key: keys[0], Method: http.MethodPost, Path: wire.PathGet, Body: body,
	}
	return c.fetchRows(ctx, call)
}

// List implements storage.Table.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	query := url.Values{}
	query.Set(wire.ParamPrefix, prefix)
	query.Set(wire.ParamAfter, after)
	query.Set(wire.ParamLimit, strconv.Itoa(limit))
	call := httpcall.Call{
		Op: "table.list", Key: prefix, Method: http.MethodGet, Path: wire.PathList + "?" + query.Encode(),
	}
	return c.fetchRows(ctx, call)
}

// Watch implements storage.Table. It sends long-poll requests until a row has
// changed or ctx ends, and returns an error if the service is unavailable.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) ([]storage.Row, error) {
	for ctx.Err() == nil {
		query := url.Values{}
		query.Set(wire.ParamPrefix, prefix)
		query.Set(wire.ParamAfter, strconv.FormatUint(after, 10))
		query.Set(wire.ParamWaitMS, strconv.FormatInt(watchTimeout.Milliseconds(), 10))
		call := httpcall.Call{
			Op:      "table.watch",
			Key:     prefix,
			Method:  http.MethodGet,
			Path:    wire.PathWatch + "?" + query.Encode(),
			Timeout: watchTimeout + watchTimeoutMargin,
		}
		started := time.Now()
		rows, err := c.fetchRows(ctx, call)
		if len(rows) > 0 {
			return rows, nil
		}
		if ctx.Err() != nil {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		if time.Since(started) < minWatchInterval {
			sleep(ctx, minWatchInterval)
		}
	}
	return nil, nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// fetchRows sends the call and decodes the rows of the response.
func (c *Client) fetchRows(ctx context.Context, call httpcall.Call) ([]storage.Row, error) {
	body, err := c.calls.Do(ctx, call)
	if err != nil {
		return nil, err
	}
	var msg wire.Rows
	if err := json.Unmarshal(body, &msg); err != nil {
		return nil, decodeError(call, err)
	}
	return msg.Rows, nil
}

func encodeError(op string, cause error) error {
	return &storage.Error{Op: op, Kind: storage.KindInvalid, Outcome: storage.OutcomeAborted, Cause: cause}
}

func decodeError(call httpcall.Call, cause error) error {
	return &storage.Error{Op: call.Op, Kind: storage.KindUnavailable, Outcome: storage.OutcomeUnknown, Key: call.Key, Cause: cause}
}

// firstKey returns the key that errors name: the first one that txn writes.
func firstKey(txn storage.Transaction) string {
	if len(txn.Puts) > 0 {
		return txn.Puts[0].Key
	}
	if len(txn.Deletes) > 0 {
		return txn.Deletes[0]
	}
	return ""
}
