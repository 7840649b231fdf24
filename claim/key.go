package claim

import (
	"encoding/hex"
	"strings"

	"github.com/zeebo/xxh3"
)

// GeneratedPrefix is the prefix of keys that a router generates for requests
// without one. A request that is not repeatable is not run if a caller chose a key
// with this prefix for it.
const GeneratedPrefix = "gen."

// MaxKeyBytes is the maximum length of an idempotency key.
const MaxKeyBytes = 255

// Key identifies an idempotency key within its workspace.
type Key struct {
	Workspace string
	Name      string
}

// IsGenerated reports whether the key has GeneratedPrefix. A caller's own key may
// have it too.
func (k Key) IsGenerated() bool { return strings.HasPrefix(k.Name, GeneratedPrefix) }

// Partition returns the index of the workspace's partition that holds the key.
// It is 0 when partitions is at most 1.
func (k Key) Partition(partitions int) uint32 {
	if partitions <= 1 {
		return 0
	}
	return uint32(xxh3.HashString(k.Name) % uint64(partitions))
}

// BodyHash is the hash of a request's body.
type BodyHash [32]byte

// NewBodyHash converts b to a BodyHash. A shorter b is padded with zero bytes and
// a longer one is hashed again.
func NewBodyHash(b []byte) BodyHash {
	var out BodyHash
	if len(b) <= len(out) {
		copy(out[:], b)
		return out
	}
	sum := xxh3.Hash128(b).Bytes()
	copy(out[:], sum[:])
	return out
}

// Slot identifies a request for billing: a sequence number within a credit grant.
type Slot struct {
	Grant    string
	Sequence uint64
}

// Agent is the agent that an attempt was sent to.
type Agent struct {
	VM string
	// Incarnation is 0 when the router did not know it.
	Incarnation uint64
	// Address is host:port.
	Address  string
	Endpoint string
}

// String returns the hash in hexadecimal.
func (b BodyHash) String() string { return hex.EncodeToString(b[:]) }
