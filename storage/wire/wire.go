// Package wire holds the messages and paths of the HTTP/JSON protocols that the
// platform's table, object store and VM list are spoken to with.
package wire

import "jackdawswitch/storage"

// The paths of the table service.
const (
	PathCommit = "/v1/commit"
	PathGet    = "/v1/get"
	PathList   = "/v1/list"
	PathWatch  = "/v1/watch"
)

// The paths of the object store and the VM list. PathObjects is followed by an
// object's key.
const (
	PathObjects = "/v1/objects/"
	PathVMs     = "/v1/vms"
)

// The query parameters of lists and watches.
const (
	ParamPrefix = "prefix"
	ParamAfter  = "after"
	ParamLimit  = "limit"
	ParamWaitMS = "wait_ms"
)

// GetRequest asks for rows by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// Rows is the answer to a get, a list or a watch.
type Rows struct {
	Rows []storage.Row `json:"rows"`
}

// Keys is the answer to a list of objects.
type Keys struct {
	Keys []string `json:"keys"`
}

// Failure is the body of an answer whose status is not 2xx.
type Failure struct {
	Kind storage.ErrorKind `json:"kind"`
	// NotDone is set when the call took no effect and never will.
	NotDone bool   `json:"notDone"`
	Key     string `json:"key,omitempty"`
	Detail  string `json:"detail,omitempty"`
}
