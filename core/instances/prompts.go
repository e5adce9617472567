package instances

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	// promptRetention is how long an upstream is expected to cache a prompt that no
	// request uses: engines evict the least recently used parts.
	promptRetention = 12 * time.Second
	// maxPrompts is the maximum number of tracked prompts, about 4 MB.
	maxPrompts = 16384
	// maxHoldersPerPrompt is the maximum number of upstreams tracked per prompt.
	maxHoldersPerPrompt = 4
)

type promptHolder struct {
	id         domain.UpstreamID
	lastUsedAt time.Time
}

// prompts tracks, by prompt key, the upstreams to which a shared prompt was sent.
type prompts map[uint64][]promptHolder

func (p prompts) record(now time.Time, key uint64, id domain.UpstreamID) {
	list := p[key]
	oldest := 0
	for i := range list {
		if list[i].id == id {
			list[i].lastUsedAt = now
			return
		}
		if list[i].lastUsedAt.Before(list[oldest].lastUsedAt) {
			oldest = i
		}
	}
	if len(list) < maxHoldersPerPrompt {
		p.evict(now)
		p[key] = append(list, promptHolder{id, now})
		return
	}
	list[oldest] = promptHolder{id, now}
}

func (p prompts) mayBeCached(now time.Time, key uint64, id domain.UpstreamID) bool {
	for _, h := range p[key] {
		if h.id == id {
			return now.Sub(h.lastUsedAt) < promptRetention
		}
	}
	return false
}

// evict removes expired prompts once there are too many, and arbitrary ones if that
// is not sufficient.
func (p prompts) evict(now time.Time) {
	if len(p) < maxPrompts {
		return
	}
	for key, list := range p {
		if !slices.ContainsFunc(list, func(h promptHolder) bool { return now.Sub(h.lastUsedAt) <= promptRetention }) {
			delete(p, key)
		}
	}
	for key := range p {
		if len(p) < maxPrompts {
			return
		}
		delete(p, key)
	}
}
