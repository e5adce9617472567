package routing

import (
	"math"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Headroom is what the places that may serve a request have together.
type Headroom struct {
	// Known is false if no live and reachable place serves the target in an
	// allowed region.
	Known bool
	// Slots and Free count requests; Free sums what each place has free.
	Slots, Free float64
	// FirstToken is the shortest time to the first token in a free slot, and
	// Service the time for which the request holds the slot there.
	FirstToken, Service time.Duration
}

// Headroom sums up the candidates for a request, own work included.
func (s *Snapshot) Headroom(req *Request) Headroom {
	index, ok := s.targets[req.Target]
	if !ok {
		return Headroom{}
	}
	h := Headroom{}
	first, service := math.Inf(1), 0.0
	candidates := s.lists[index].candidates
	for i := range candidates {
		c := &candidates[i]
		if c.state != domain.UpstreamLive || !c.reachable || !req.Allowed.has(c.region) {
			continue
		}
		requests, tokens := c.load()
		h.Known = true
		h.Slots += c.slots
		h.Free += max(c.slots-requests, 0)
		if t := c.roundTrip + (tokens/c.weight+float64(req.PromptTokens))/c.prefill; t < first {
			first = t
			service = float64(req.PromptTokens)/c.prefill + float64(req.OutputTokens)/c.decode
		}
	}
	if h.Known {
		h.FirstToken = time.Duration(first * float64(time.Second))
		h.Service = time.Duration(service * float64(time.Second))
	}
	return h
}
