// Package wire defines the messages and paths of the HTTP/JSON protocols of the
// platform's table, object store and VM list.
package wire

import "jackdawswitch/storage"

// The paths of the table service.
const (
	PathCommit = "/v1/commit"
	PathGet    = "/v1/get"
	PathList   = "/v1/list"
	PathWatch  = "/v1/watch"
)

// The paths of the object store and the VM list. The path of an object is
// PathObjects followed by the escaped key; PathObjects itself lists keys.
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

// GetRequest is the body of a request for rows by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// Rows is the response to a get, list or watch of the table.
type Rows struct {
	Rows []storage.Row `json:"rows"`
}

// Keys is the response to a list of objects.
type Keys struct {
	Keys []string `json:"keys"`
}

// Failure is the body of an error response, one whose status is not 2xx.
type Failure struct {
	Kind storage.ErrorKind `json:"kind"`
	// NotDone is set if the outcome is storage.OutcomeAborted; otherwise the
	// outcome is unknown.
	NotDone bool   `json:"notDone"`
	Key     string `json:"key,omitempty"`
	Detail  string `json:"detail,omitempty"`
}
