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
	// maxCacheEvents bounds the events kept for readers.
	maxCacheEvents = 100_000
)

// PrefixHashes returns a hash for each whole block of a prompt; a block's hash
// covers all of the prompt up to its end.
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

// timedEvent is a cache event and when readers may see it.
type timedEvent struct {
	ports.CacheEvent
	visible time.Time
}

// prefixCache is a cache of prompt blocks that evicts the least recently used.
type prefixCache struct {
	cfg Config

	mu       sync.Mutex
	blocks   map[uint64]*list.Element
	recent   *list.List // of uint64, most recently used first
	sequence uint64
	events   []timedEvent
}

func newPrefixCache(cfg Config) *prefixCache {
	return &prefixCache{cfg: cfg, blocks: make(map[uint64]*list.Element), recent: list.New()}
}

// use returns how many tokens of the prompt were cached, and caches the rest.
func (c *prefixCache) use(prompt []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits, missed := 0, false
	for _, hash := range PrefixHashes(prompt, c.cfg.BlockBytes) {
		if el, ok := c.blocks[hash]; ok {
			c.recent.MoveToFront(el)
			if !missed {
				hits++
			}
			continue
		}
		missed = true
		c.blocks[hash] = c.recent.PushFront(hash)
		c.emit(hash, false)
		c.evict()
	}
	return hits * c.cfg.BlockBytes / bytesPerToken
}

func (c *prefixCache) evict() {
	if c.recent.Len() <= c.cfg.CacheBlocks {
		return
	}
	hash := c.recent.Remove(c.recent.Back()).(uint64)
	delete(c.blocks, hash)
	c.emit(hash, true)
}

// emit records an event, or loses it as configured; its number is spent.
func (c *prefixCache) emit(hash uint64, evicted bool) {
	c.sequence++
	if every := c.cfg.CacheEventGapEvery; every > 0 && c.sequence%every == 0 {
		return
	}
	c.events = append(c.events, timedEvent{
		CacheEvent: ports.CacheEvent{Sequence: c.sequence, Prefix: hash, Evicted: evicted},
		visible:    c.cfg.Now().Add(c.cfg.CacheEventLag),
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[1:]
	}
}

// after returns the events that have become visible after a number.
func (c *prefixCache) after(sequence uint64) []ports.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	out := []ports.CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > sequence && !e.visible.After(now) {
			out = append(out, e.CacheEvent)
		}
	}
	return out
}
