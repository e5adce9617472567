package instances

import (
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Notice tells other nodes of the region of a prompt that this one sent to an
// engine, so that they neither send another one there at the same time nor have
// it read elsewhere.
type Notice struct {
	Service  string
	Instance domain.UpstreamID
	// Tokens that the engine has to read.
	Tokens int
	// Shared identifies the prompt's shared parts; zero if there are none.
	Shared uint64
}

// minNotice is the prompt from which a notice is worth its message: a tenth of
// what an engine reads between two events.
const minNotice = 1500 // tokens

// Noticed adopts notices of other nodes.
func (c *Catalog) Noticed(now time.Time, notices []Notice) {
	for _, n := range notices {
		c.Pool(n.Service).noticed(now, n)
	}
}

func (p *Pool) noticed(now time.Time, n Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.find(n.Instance)
	if u == nil {
		return // its entry has not arrived yet, or went
	}
	u.backlog.add(now, p.options.PrefillRate, n.Tokens)
	if n.Shared != 0 {
		p.prompts.read(now, n.Shared, u.ID)
	}
}

func (p *Pool) announce(t *Ticket) {
	if p.options.Announce == nil || t.tokens < minNotice && !t.shared {
		return
	}
	n := Notice{Service: p.service, Instance: t.up.ID, Tokens: t.tokens}
	if t.shared {
		n.Shared = t.prompt
	}
	p.options.Announce(n)
}
