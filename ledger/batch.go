package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// Bill is the final charge for one slot. Its JSON is part of the batch body that
// the batch ID is computed from.
type Bill struct {
	// Sequence is the slot's number within its grant.
	Sequence uint64 `json:"s"`
	// Key is the idempotency key of the request.
	Key              string `json:"k,omitempty"`
	Credits          int64  `json:"c"`
	PromptTokens     int64  `json:"p,omitempty"`
	CompletionTokens int64  `json:"o,omitempty"`
	Endpoint         string `json:"e,omitempty"`
	// FinishedUnixMs is the time at which the request ended, in Unix milliseconds.
	FinishedUnixMs int64 `json:"t,omitempty"`
	// Unresolved is set when no receipt survived or the outcome of the request is
	// unknown. Credits is then an upper bound.
	Unresolved bool `json:"u,omitempty"`
	// Remainder is set when the bill covers all slots of the grant whose records
	// may have been lost with both the holder and an agent. Sequence and Key are
	// unused, and Credits is negative when a late receipt replaces part of an
	// earlier remainder.
	Remainder bool `json:"r,omitempty"`
}

// BatchSection holds the bills of one grant in a batch.
type BatchSection struct {
	Grant     string `json:"grant"`
	Workspace string `json:"workspace"`
	Lot       string `json:"lot"`
	// Previous is the ID of the grant's previous batch, empty for its first. The
	// batches of a grant form a chain that ends at GrantRow.LastBatch.
	Previous string `json:"previous,omitempty"`
	Bills    []Bill `json:"bills"`
}

// Batch is an object with the bills of one settlement or reclaim, stored under
// BatchKey.
type Batch struct {
	// Writer is the ID of the transaction that records the batch in the rows of
	// its grants.
	Writer   string         `json:"writer"`
	Sections []BatchSection `json:"sections"`
}

// BatchPrefix is the key prefix of all batch objects.
const BatchPrefix = "batch/"

// BatchKey returns the object key of the batch with the given ID.
func BatchKey(id string) string { return BatchPrefix + id }

// Credits returns the total credits of the section's bills.
func (s *BatchSection) Credits() int64 {
	var sum int64
	for i := range s.Bills {
		sum += s.Bills[i].Credits
	}
	return sum
}

// Encode returns the JSON body of the batch and its ID, which is the hex-encoded
// first half of the body's SHA-256 hash.
func (b *Batch) Encode() (id string, body []byte) {
	body, err := json.Marshal(b)
	if err != nil {
		panic(err) // Unreachable: all fields of a batch can be encoded.
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:16]), body
}

// BatchError reports a batch body that cannot be decoded or does not match the
// batch ID.
type BatchError struct {
	ID     string
	Detail string
	// Err is the error of the JSON decoder, or nil.
	Err error
}

// Error implements error.
func (e *BatchError) Error() string { return "batch " + e.ID + ": " + e.Detail }

// Unwrap returns the error of the JSON decoder, or nil.
func (e *BatchError) Unwrap() error { return e.Err }

// DecodeBatch decodes a batch body after verifying it against the batch ID. Its
// error is a *BatchError.
func DecodeBatch(id string, body []byte) (*Batch, error) {
	sum := sha256.Sum256(body)
	if hex.EncodeToString(sum[:16]) != id {
		return nil, &BatchError{ID: id, Detail: "body does not match the id"}
	}
	var b Batch
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, &BatchError{ID: id, Detail: err.Error(), Err: err}
	}
	return &b, nil
}
