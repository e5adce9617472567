package enginesim

import (
	"container/list"
	"encoding/binary"
	"hash/fnv"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/ports"
)

const (
	bytesPerToken = 4
	// maxCacheEvents is the maximum number of cache events retained.
	maxCacheEvents = 100_000
)

// PrefixHashes returns one hash for each complete block of a prompt. The hash of a
// block covers the prompt from its beginning to the end of the block.
func PrefixHashes(prompt []byte, blockBytes int) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/blockBytes)
	var previous [8]byte
	for len(prompt) >= blockBytes {
		h := fnv.New64a()
		h.Write(previous[:])
		h.Write(prompt[:blockBytes])
		hashes = append(hashes, h.Sum64())
		binary.LittleEndian.PutUint64(previous[:], h.Sum64())
		prompt = prompt[blockBytes:]
	}
	return hashes
}

func promptTokens(prompt []byte) int { return len(prompt)/bytesPerToken + 1 }

// delayedEvent is a cache event and the time from which it is visible.
type delayedEvent struct {
	ports.CacheEvent
	visibleAt time.Time
}

// prefixCache is an LRU cache of prompt blocks.
type prefixCache struct {
	cfg Config

	mu       sync.Mutex
	blocks   map[uint64]*list.Element
	lru      *list.List // of uint64, most recently used first
	sequence uint64
	events   []delayedEvent
}

func newPrefixCache(cfg Config) *prefixCache {
	return &prefixCache{cfg: cfg, blocks: make(map[uint64]*list.Element), lru: list.New()}
}

// lookupAndInsert returns the number of tokens in the cached prefix of the prompt
// and adds the missing blocks to the cache.
func (c *prefixCache) lookupAndInsert(prompt []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits, missSeen := 0, false
	for _, hash := range PrefixHashes(prompt, c.cfg.BlockBytes) {
		if el, ok := c.blocks[hash]; ok {
			c.lru.MoveToFront(el)
			if !missSeen {
				hits++
			}
			continue
		}
		missSeen = true
		c.blocks[hash] = c.lru.PushFront(hash)
		c.emitEvent(hash, false)
		c.evict()
	}
	return hits * c.cfg.BlockBytes / bytesPerToken
}

func (c *prefixCache) evict() {
	if c.lru.Len() <= c.cfg.CacheBlocks {
		return
	}
	hash := c.lru.Remove(c.lru.Back()).(uint64)
	delete(c.blocks, hash)
	c.emitEvent(hash, true)
}

// emitEvent records a cache event, or drops it as set by
// Config.CacheEventDropInterval. A dropped event still consumes a sequence number.
func (c *prefixCache) emitEvent(hash uint64, evicted bool) {
	c.sequence++
	if interval := c.cfg.CacheEventDropInterval; interval > 0 && c.sequence%interval == 0 {
		return
	}
	c.events = append(c.events, delayedEvent{
		CacheEvent: ports.CacheEvent{Sequence: c.sequence, Prefix: hash, Evicted: evicted},
		visibleAt:  c.cfg.Now().Add(c.cfg.CacheEventLag),
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// after returns the visible events whose sequence number is greater than sequence.
func (c *prefixCache) after(sequence uint64) []ports.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	out := []ports.CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > sequence && !e.visibleAt.After(now) {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}
