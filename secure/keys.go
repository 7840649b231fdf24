package secure

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"jackdawswitch/config"
)

const (
	bearerPrefix = "Bearer "

	// maxKeyBytes limits the length of a key or Authorization header from a
	// caller; longer ones are rejected without hashing.
	maxKeyBytes = 512
)

// HashSecret returns the hex SHA-256 hash of a key or token, as it appears in the
// configuration and settings.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// BearerToken returns the bearer token of an Authorization header. It returns
// false if the header has none or is longer than 512 bytes.
func BearerToken(header string) (string, bool) {
	if len(header) <= len(bearerPrefix) || len(header) > maxKeyBytes {
		return "", false
	}
	if !strings.EqualFold(header[:len(bearerPrefix)], bearerPrefix) {
		return "", false
	}
	return strings.TrimSpace(header[len(bearerPrefix):]), true
}

// TokenMatches reports whether an Authorization header carries the token with
// the given hex SHA-256 hash. The hashes are compared in constant time.
func TokenMatches(header, hash string) bool {
	token, ok := BearerToken(header)
	want, err := hex.DecodeString(hash)
	if !ok || err != nil {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	return subtle.ConstantTimeCompare(sum[:], want) == 1
}

// Keyring maps API keys to workspaces. It is immutable.
type Keyring struct {
	owners map[[sha256.Size]byte]keyOwner
}

type keyOwner struct {
	hash      [sha256.Size]byte
	workspace string
}

// NewKeyring returns a keyring of the key hashes in a configuration document.
// Hashes that can't be decoded are skipped.
func NewKeyring(doc *config.Document) *Keyring {
	k := &Keyring{owners: make(map[[sha256.Size]byte]keyOwner)}
	for _, workspace := range doc.Register.Workspaces {
		for _, hexHash := range workspace.KeyHashes {
			var hash [sha256.Size]byte
			if n, err := hex.Decode(hash[:], []byte(hexHash)); err != nil || n != sha256.Size {
				continue
			}
			k.owners[hash] = keyOwner{hash: hash, workspace: workspace.ID}
		}
	}
	return k
}

// Workspace returns the ID of the workspace that a key belongs to. It looks up
// the key's hash, so that timing reveals nothing about other keys.
func (k *Keyring) Workspace(key string) (string, bool) {
	if key == "" || len(key) > maxKeyBytes {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	found, ok := k.owners[sum]
	match := subtle.ConstantTimeCompare(found.hash[:], sum[:]) == 1
	return found.workspace, ok && match
}
