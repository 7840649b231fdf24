// Package rendezvous holds the hash by which processes that know the same
// members agree on the one that holds a key, without a word between them.
package rendezvous

import "github.com/zeebo/xxh3"

// Hash returns the hash of a member's or a key's name.
func Hash(name string) uint64 { return xxh3.HashString(name) }

// Score is the weight of a member for a key, both by their hashes: the member
// with the highest score holds the key.
func Score(key, member uint64) uint64 {
	x := key ^ member
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
