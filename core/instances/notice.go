package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Notice informs the other nodes of the region about a prompt that this node sent
// to an engine. It prevents them from sending another prompt there at the same
// time and from having the same prompt prefilled on another engine.
type Notice struct {
	Service  string
	Instance domain.UpstreamID
	// Tokens is the number of prompt tokens that the engine has to prefill.
	Tokens int
	// Shared identifies the shared parts of the prompt; zero if there are none.
	Shared uint64
}

// minNoticeTokens is the smallest prompt without shared parts that is announced to
// other nodes: a tenth of what an engine prefills between two events.
const minNoticeTokens = 1500

// ApplyNotices applies the notices received from other nodes.
func (c *Catalog) ApplyNotices(now time.Time, notices []Notice) {
	for _, n := range notices {
		c.Pool(n.Service).applyNotice(now, n)
	}
}

func (p *Pool) applyNotice(now time.Time, n Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.find(n.Instance)
	if u == nil {
		return // the entry has not been received yet or was removed
	}
	u.backlog.add(now, p.prefillRate.tokensPerMS, n.Tokens)
	if n.Shared != 0 {
		p.prompts.record(now, n.Shared, u.ID)
	}
}

func (p *Pool) sendNotice(t *Ticket) {
	if p.options.SendNotice == nil || t.tokens < minNoticeTokens && !t.shared {
		return
	}
	n := Notice{Service: p.service, Instance: t.upstream.ID, Tokens: t.tokens}
	if t.shared {
		n.Shared = t.prompt
	}
	p.options.SendNotice(n)
}
