package instances

import (
	"maps"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
)

// Sources from which a node knows that an upstream leaves, whatever its entry says, as they appear in logs.
const (
	leavingFromAnswer = "answer"
	leavingFromHealth = "health response"
	leavingFromNode   = "another node"
)

// process is one process of an upstream.
type process struct {
	id      domain.UpstreamID
	started int64
}

// toldLeaving holds processes that said that they leave, and when this node heard of it from another one without having a record
// of them: their entries may be still to come, or come again, when no node repeats it any more.
type toldLeaving map[process]time.Time

func (l toldLeaving) record(now time.Time, p process) {
	maps.DeleteFunc(l, func(_ process, at time.Time) bool { return now.Sub(at) > removedRetention })
	l[p] = now
}

func (l toldLeaving) has(now time.Time, p process) bool {
	at, found := l[p]
	return found && now.Sub(at) <= removedRetention
}

func (p *Pool) setLeaving(u *upstream, from string) {
	if !u.leavingStated {
		u.leavingStated = true
		p.options.Log.Log(event.InstanceLeaving, event.F("instance", u.ID), event.F("service", p.service), event.F("from", from))
	}
}

// RecordLeaving records that the answer to a health request says that the upstream leaves.
func (c *Catalog) RecordLeaving(h HealthCheck) {
	p := c.Pool(h.Service)
	p.mu.Lock()
	defer p.mu.Unlock()
	if u := p.find(h.ID); u != nil && u.Started == h.Started {
		p.setLeaving(u, leavingFromHealth)
		p.options.StatementsChanged()
	}
}
