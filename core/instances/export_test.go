package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/placement"
)

// SetHeldParts replaces what the pool expects an engine to hold, the most recently used part first.
func (p *Pool) SetHeldParts(now time.Time, id domain.UpstreamID, parts []placement.Part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.find(id)
	p.holders.forget(u)
	u.held.volumeAt = now
	for i := len(parts) - 1; i >= 0; i-- {
		u.held.use(parts[i])
		p.holders.add(parts[i].ID, u)
	}
}
