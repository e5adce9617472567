package instances

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// Statement is what an upstream said of itself to some node of the region. Nodes tell each other.
type Statement struct {
	Service  string
	Instance domain.UpstreamID
	// Started is that of the process that said it.
	Started int64
	// ColdFor is the remaining time for which it is cold; zero if it did not say so.
	ColdFor time.Duration
}

const (
	// maxStatements is the maximum number of statements in one message.
	maxStatements = 16
	// maxColdFor is the longest cold phase that an upstream may state.
	maxColdFor = 10 * time.Minute
)

// Statements returns the statements in force, at most maxStatements of them.
func (c *Catalog) Statements(now time.Time) []Statement {
	var list []Statement
	c.ForEach(func(p *Pool) { list = append(list, p.statements(now)...) })
	slices.SortFunc(list, func(a, b Statement) int {
		return cmp.Or(cmp.Compare(b.ColdFor, a.ColdFor), cmp.Compare(a.Instance, b.Instance))
	})
	return list[:min(maxStatements, len(list))]
}

func (p *Pool) statements(now time.Time) []Statement {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Statement
	for _, u := range p.upstreams {
		if coldFor := u.coldness.statedUntil.Sub(now); coldFor > 0 {
			list = append(list, Statement{Service: p.service, Instance: u.ID, Started: u.Started, ColdFor: coldFor})
		}
	}
	return list
}

// ApplyStatements adopts statements that this node or another one received.
func (c *Catalog) ApplyStatements(now time.Time, list []Statement) {
	for _, s := range list {
		c.Pool(s.Service).applyStatement(now, s)
	}
}

func (p *Pool) applyStatement(now time.Time, s Statement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.find(s.Instance)
	if u == nil || u.Started != s.Started {
		return
	}
	if s.ColdFor > 0 {
		until := now.Add(min(s.ColdFor, maxColdFor))
		u.coldness.statedUntil = until
		p.extendCold(now, u, until, coldFromStatement)
	}
}
