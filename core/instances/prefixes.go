package instances

import (
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/placement"
)

const (
	// maxHeldParts is the maximum number of parts tracked for one engine, 40 bytes each. Engines of
	// 380,000 tokens hold 20 to 50 parts of prompts that are long enough to be tracked.
	maxHeldParts = 96
	// minHeldTokens is the size from which a part is tracked: a smaller one is read in 7 ms.
	minHeldTokens = 500
	// surelyHeld and surelyEvicted are the tokens used since a part was last used, as fractions of
	// those that the engine has room for, up to which the part is still held, and from which it
	// is not. The volume of requests that other nodes do not tell of is an estimate.
	surelyHeld, surelyEvicted = 0.9, 1.1
)

// heldPart is a part of a prompt that an engine has read.
type heldPart struct {
	id     uint64
	tokens int
	// volume is heldParts.volume at the last use.
	volume float64
}

// heldParts models what an engine holds: its parts with the most recently used one first. Engines
// evict the least recently used parts when running requests and new parts need their memory.
type heldParts struct {
	parts []heldPart
	// volume is the number of tokens ever read or generated for requests whose parts are not
	// tracked, up to volumeAt.
	volume   float64
	volumeAt time.Time
}

// addVolume adds tokens of requests whose parts are not tracked: those of a single request, and those that
// other requests read and generate per millisecond.
func (h *heldParts) addVolume(now time.Time, tokens, perMS float64) {
	if age := now.Sub(h.volumeAt); age > 0 {
		if !h.volumeAt.IsZero() {
			h.volume += perMS * float64(age) / float64(time.Millisecond)
		}
		h.volumeAt = now
	}
	h.volume += tokens
}

// use moves a part to the front, or adds it. It returns whether it is new, and the part that is dropped
// for it; zero if there is none.
func (h *heldParts) use(part placement.Part) (added bool, dropped uint64) {
	entry := heldPart{part.ID, part.Tokens, h.volume}
	i := slices.IndexFunc(h.parts, func(p heldPart) bool { return p.id == part.ID })
	if i < 0 {
		added = true
		if len(h.parts) < maxHeldParts {
			h.parts = append(h.parts, heldPart{})
		} else {
			dropped = h.parts[len(h.parts)-1].id
		}
		i = len(h.parts) - 1
	}
	copy(h.parts[1:i+1], h.parts[:i])
	h.parts[0] = entry
	return added, dropped
}

// expected returns the number of leading tokens of a prompt that the engine is expected to hold, if it has
// room for the given number of tokens. Without its first parts a part is of no use.
func (h *heldParts) expected(prompt []placement.Part, room float64) float64 {
	tokens, chance := 0.0, 1.0
	for _, part := range prompt {
		chance = min(chance, h.chance(part.ID, room))
		if chance == 0 {
			break
		}
		tokens += chance * float64(part.Tokens)
	}
	return tokens
}

// chance returns the probability that the engine holds a part.
func (h *heldParts) chance(id uint64, room float64) float64 {
	ahead := 0.0
	for i := range h.parts {
		p := &h.parts[i]
		ahead += float64(p.tokens)
		if p.id == id {
			used := (ahead + h.volume - p.volume) / max(1, room)
			return min(1, max(0, (surelyEvicted-used)/(surelyEvicted-surelyHeld)))
		}
	}
	return 0
}

// holders maps parts to the engines that may hold them.
type holders map[uint64][]*upstream

func (h holders) add(id uint64, u *upstream) { h[id] = append(h[id], u) }

func (h holders) remove(id uint64, u *upstream) {
	list := h[id]
	if i := slices.Index(list, u); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == 0 {
		delete(h, id)
		return
	}
	h[id] = list
}

// forget removes an engine that is no longer registered or has started again.
func (h holders) forget(u *upstream) {
	for _, part := range u.held.parts {
		h.remove(part.id, u)
	}
	u.held = heldParts{}
}

// recordParts records that a request with the given parts was sent to an engine. The first part is
// evicted last.
func (p *Pool) recordParts(now time.Time, u *upstream, parts []placement.Part) {
	p.updateVolume(now, u, 0)
	for _, part := range slices.Backward(parts) {
		if part.Tokens < minHeldTokens {
			continue
		}
		added, dropped := u.held.use(part)
		if added {
			p.holders.add(part.ID, u)
		}
		if dropped != 0 {
			p.holders.remove(dropped, u)
		}
	}
}

// updateVolume adds the tokens of a request whose parts are not tracked, and what other nodes' requests
// that no notice tells of have read since the last call.
func (p *Pool) updateVolume(now time.Time, u *upstream, tokens int) {
	untold := max(0, u.otherRequestsAt(now, p.meanOtherRequests(now))-float64(len(u.reserved.remote)))
	perMS := untold * p.sizes.untold / max(1, float64(p.meanSlotTime)/float64(time.Millisecond))
	u.held.addVolume(now, float64(tokens), perMS)
}

// markHeld sets the tokens of the prompt that candidates are expected to hold, and those of its shared
// parts that none of them is. It looks only at engines that
// may hold the first part.
func (p *Pool) markHeld(now time.Time, q *Query, candidates []placement.Candidate) {
	if candidates == nil || len(q.Prompt) == 0 {
		return
	}
	parts, most := newReservation(&q.Request).parts, 0
	if len(parts) == 0 {
		return
	}
	for _, u := range p.holders[parts[0].ID] {
		p.updateVolume(now, u, 0)
		c := &candidates[u.index]
		room := c.MemoryTokens - max(0, c.OthersInFlight-float64(len(u.reserved.remote)))*p.sizes.untold
		c.CachedTokens = int(u.held.expected(parts, room))
		if c.Usable {
			most = max(most, c.CachedTokens)
		}
	}
	q.UnheldTokens = -most
	for _, part := range parts[:len(parts)-1] {
		q.UnheldTokens += part.Tokens
	}
	q.UnheldTokens = max(0, q.UnheldTokens)
}
