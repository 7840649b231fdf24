// Package rendezvous implements rendezvous hashing: processes that know the same
// members agree on the member that owns a key without communicating.
package rendezvous

import "github.com/zeebo/xxh3"

// Hash returns the hash of the name of a member or key.
func Hash(name string) uint64 { return xxh3.HashString(name) }

// Score returns the score of a member for a key, both given by their hashes. The
// member with the highest score owns the key.
func Score(key, member uint64) uint64 {
	x := key ^ member
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
