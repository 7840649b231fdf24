package claim

import (
	"encoding/json"
	"time"

	pb "jackdawswitch/api/jackdawv1"
)

// Key prefixes of the rows that this package defines.
const (
	// RowPrefix is the prefix of durable claims.
	RowPrefix = "claim/"
	// UnknownOutcomePrefix is the prefix of the index of unknown outcomes.
	UnknownOutcomePrefix = "claim-unknown/"
	// CrashPrefix is the prefix of crash records.
	CrashPrefix = "crash/"
)

// RowKey returns the row key of the durable claim of key.
func RowKey(key Key) string { return RowPrefix + key.Workspace + "/" + key.Name }

// UnknownOutcomeKey returns the row key of the index entry for the unknown outcome
// of key.
func UnknownOutcomeKey(key Key) string { return UnknownOutcomePrefix + key.Workspace + "/" + key.Name }

// RowState is the state of a durable claim.
type RowState string

// States of a durable claim.
const (
	// RowClaimed means that the owner may run the request.
	RowClaimed RowState = "claimed"
	// RowReleased means that the request did not run and may be claimed again.
	RowReleased RowState = "released"
	// RowUnknown means that the request may have run.
	RowUnknown RowState = "unknown"
	// RowFinished means that the request ran.
	RowFinished RowState = "finished"
)

// Row is the durable claim on a request that is not repeatable. It alone decides
// which home may run the request: each update is conditional on the row's
// version, so only one of two competing homes succeeds.
type Row struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
	// Body is the BodyHash of the request.
	Body  []byte   `json:"body"`
	State RowState `json:"state"`
	// Attempt is the ID of the first attempt under the claim.
	Attempt string `json:"attempt"`
	// HomeVM and HomeIncarnation identify the process that owns the claim.
	HomeVM          string `json:"homeVm"`
	HomeIncarnation uint64 `json:"homeIncarnation"`
	// Fence is the claim's fencing number. It is 0 until the first update after
	// the claim; until then the fencing number is the row's version.
	Fence        uint64      `json:"fence,omitempty"`
	RunState     pb.RunState `json:"runState,omitempty"`
	AgentVM      string      `json:"agentVm,omitempty"`
	AgentAddress string      `json:"agentAddress,omitempty"`
	Endpoint     string      `json:"endpoint,omitempty"`
	Grant        string      `json:"grant,omitempty"`
	Sequence     uint64      `json:"sequence,omitempty"`
	ClaimedAt    time.Time   `json:"claimed"`
	// ResolvedBy is the operator who resolved an unknown outcome.
	ResolvedBy string `json:"resolved,omitempty"`
}

// FencingNumber returns the claim's fencing number for a row stored at version.
func (r Row) FencingNumber(version uint64) uint64 {
	if r.Fence != 0 {
		return r.Fence
	}
	return version
}

// Encode returns the row's value as JSON.
func (r Row) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return data
}

// RowError is returned for a row whose value cannot be decoded.
type RowError struct {
	Key   string
	Cause error
}

// Error implements error.
func (e *RowError) Error() string {
	return "claim: cannot decode row " + e.Key + ": " + e.Cause.Error()
}

// Unwrap returns the decoder's error.
func (e *RowError) Unwrap() error { return e.Cause }

// DecodeRow decodes the value of the row with the given key. Its error is a
// *RowError.
func DecodeRow(key string, value []byte) (Row, error) {
	var row Row
	if err := json.Unmarshal(value, &row); err != nil {
		return Row{}, &RowError{Key: key, Cause: err}
	}
	return row, nil
}

// UnknownOutcome is the value of an index row for an unknown outcome.
type UnknownOutcome struct {
	Workspace string    `json:"workspace"`
	Key       string    `json:"key"`
	Since     time.Time `json:"since"`
}

// CrashKey returns the row key of the crash record of a request body.
func CrashKey(workspace string, body BodyHash) string {
	return CrashPrefix + workspace + "/" + body.String()
}
