package routing

import (
	"math"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Headroom is the combined capacity of the candidates that may serve a request.
type Headroom struct {
	// Known is false if no live and reachable candidate serves the target in an
	// allowed region.
	Known bool
	// Slots and FreeSlots are numbers of slots; FreeSlots is the sum of the free slots of
	// each candidate.
	Slots, FreeSlots float64
	// TimeToFirstToken is the shortest predicted time to first token in a free slot, and
	// ServiceTime the time for which the request occupies that slot.
	TimeToFirstToken, ServiceTime time.Duration
}

// Headroom sums the capacity of the candidates for a request, with this node's own
// work taken into account.
func (s *Snapshot) Headroom(req *Request) Headroom {
	listIndex, ok := s.targets[req.Target]
	if !ok {
		return Headroom{}
	}
	h := Headroom{}
	minFirstToken, service := math.Inf(1), 0.0
	candidates := s.lists[listIndex].candidates
	for i := range candidates {
		c := &candidates[i]
		if c.state != domain.UpstreamLive || !c.reachable || !req.Allowed.has(c.region) {
			continue
		}
		requests, tokens := c.load()
		h.Known = true
		h.Slots += c.slots
		h.FreeSlots += max(c.slots-requests, 0)
		if t := c.roundTrip + (tokens/c.weight+float64(req.PromptTokens))/c.prefillRate; t < minFirstToken {
			minFirstToken = t
			service = float64(req.PromptTokens)/c.prefillRate + float64(req.OutputTokens)/c.decodeRate
		}
	}
	if h.Known {
		h.TimeToFirstToken = time.Duration(minFirstToken * float64(time.Second))
		h.ServiceTime = time.Duration(service * float64(time.Second))
	}
	return h
}
