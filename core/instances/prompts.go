package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

const (
	// promptMemory is how long an upstream is expected to keep a prompt that
	// nothing asks for: engines drop the least recently used parts.
	promptMemory = 12 * time.Second
	// maxPrompts bounds the prompts that are remembered; ten times those of the
	// largest deployment's long prompts.
	maxPrompts = 4096
	// holdersEach bounds the upstreams remembered for one prompt.
	holdersEach = 4
)

type holder struct {
	id domain.UpstreamID
	at time.Time
}

// prompts remembers which upstreams read which shared prompt.
type prompts map[uint64][]holder

func (p prompts) read(now time.Time, key uint64, id domain.UpstreamID) {
	list := p[key]
	oldest := 0
	for i := range list {
		if list[i].id == id {
			list[i].at = now
			return
		}
		if list[i].at.Before(list[oldest].at) {
			oldest = i
		}
	}
	if len(list) < holdersEach {
		p.makeRoom(now)
		p[key] = append(list, holder{id, now})
		return
	}
	list[oldest] = holder{id, now}
}

func (p prompts) holds(now time.Time, key uint64, id domain.UpstreamID) bool {
	for _, h := range p[key] {
		if h.id == id {
			return now.Sub(h.at) < promptMemory
		}
	}
	return false
}

// makeRoom forgets outdated prompts once there are too many, and arbitrary ones
// if that does not suffice.
func (p prompts) makeRoom(now time.Time) {
	if len(p) < maxPrompts {
		return
	}
	for key, list := range p {
		if now.Sub(list[len(list)-1].at) > promptMemory {
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
