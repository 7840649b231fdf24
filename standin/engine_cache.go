package standin

import (
	"container/list"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// BlockWords is the number of prompt words in one block of the prefix cache.
const BlockWords = 16

// maxCacheEvents is the number of past cache events that an engine keeps.
const maxCacheEvents = 1024

// CacheEvent reports that a prompt prefix was added to the cache or evicted.
type CacheEvent struct {
	// Sequence increases by one with each event; a missing number means that an
	// event was lost.
	Sequence uint64 `json:"sequence"`
	// Hash identifies the prefix: it covers the model and all words up to the
	// end of the block.
	Hash    uint64 `json:"hash"`
	Evicted bool   `json:"evicted,omitempty"`
	at      time.Time
}

// prefixCache is an LRU cache of prompt blocks. It is guarded by the engine's
// mutex.
type prefixCache struct {
	// limit is the capacity in blocks.
	limit int
	// order holds the block hashes, most recently used first.
	order    *list.List
	blocks   map[uint64]*list.Element
	events   []CacheEvent
	sequence uint64
}

func newPrefixCache(limit int) prefixCache {
	return prefixCache{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// insert adds the blocks of a prompt to the cache and returns the number of
// leading words that were cached already.
func (c *prefixCache) insert(now time.Time, model string, words []string) int {
	cached := 0
	hash := xxh3.HashString(model)
	prefixCached := true
	for at := 0; at+BlockWords <= len(words); at += BlockWords {
		block := strings.Join(words[at:at+BlockWords], " ")
		hash = xxh3.HashStringSeed(block, hash)
		element, exists := c.blocks[hash]
		prefixCached = prefixCached && exists
		if exists {
			c.order.MoveToFront(element)
		} else {
			c.add(now, hash)
		}
		if prefixCached {
			cached += BlockWords
		}
	}
	return cached
}

func (c *prefixCache) add(now time.Time, hash uint64) {
	if c.limit == 0 {
		return
	}
	if len(c.blocks) >= c.limit {
		oldest := c.order.Back()
		evicted, _ := c.order.Remove(oldest).(uint64)
		delete(c.blocks, evicted)
		c.publish(now, evicted, true)
	}
	c.blocks[hash] = c.order.PushFront(hash)
	c.publish(now, hash, false)
}

func (c *prefixCache) publish(now time.Time, hash uint64, evicted bool) {
	c.sequence++
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Hash: hash, Evicted: evicted, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = append([]CacheEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// CacheEvents returns the cache events after a sequence number. Events appear
// EventDelay late, and every EventGap-th event is missing.
func (e *Engine) CacheEvents(after uint64) []CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	until := time.Now().Add(-e.opts.EventDelay)
	published := []CacheEvent{}
	for _, event := range e.cache.events {
		lost := e.opts.EventGap > 0 && event.Sequence%e.opts.EventGap == 0
		if event.Sequence > after && !lost && !event.at.After(until) {
			published = append(published, event)
		}
	}
	return published
}
