package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// need is a model that should be on one more engine.
type need struct {
	model string
	// floor is set if the model is below its floor, not merely in demand.
	floor bool
}

// planner chooses changes for one look at the engines.
type planner struct {
	cfg    Config
	now    time.Time
	demand *demand
	s      Situation
	uses   map[string]usage
	// changing holds the engines and models with a change under way.
	changing map[domain.UpstreamID]bool
	loading  map[string]bool
	// dropping counts the copies that changes under way take away.
	dropping map[string]int
}

func newPlanner(cfg Config, now time.Time, d *demand, s Situation, underWay map[domain.UpstreamID]*change) *planner {
	p := &planner{
		cfg: cfg, now: now, demand: d, s: s, uses: usages(s.Engines),
		changing: make(map[domain.UpstreamID]bool), loading: make(map[string]bool), dropping: make(map[string]int),
	}
	for _, c := range underWay {
		p.note(c)
	}
	return p
}

func (p *planner) note(c *change) {
	p.changing[c.engine.ID] = true
	p.loading[c.load] = true
	if c.drop != "" {
		p.dropping[c.drop]++
	}
}

// plan returns new changes: models below their floor first, then those in
// demand. Without either there are none. While any live engine has not said
// what it has, there are none either: the model may be there.
func (p *planner) plan() []*change {
	live := 0
	for _, e := range p.s.Engines {
		if e.Live && !e.Reported {
			return nil
		}
		if e.Live {
			live++
		}
	}
	room := max(1, int(p.cfg.MaxChangingShare*float64(live))) - len(p.changing)
	var changes []*change
	for _, n := range p.needs() {
		if len(changes) >= room {
			break
		}
		if c := p.place(n); c != nil {
			p.note(c)
			changes = append(changes, c)
		}
	}
	return changes
}

func (p *planner) needs() []need {
	var floor, hot []need
	for _, m := range p.s.Wanted {
		switch {
		case p.loading[m]:
		case lasted(p.demand.missing, m, p.now, p.cfg.MissingFor):
			floor = append(floor, need{m, true})
		case lasted(p.demand.hot, m, p.now, p.cfg.DemandFor):
			hot = append(hot, need{m, false})
		}
	}
	return append(floor, hot...)
}

// option is one way to meet a need.
type option struct {
	engine *Engine
	drop   string
	// loss orders options: nothing is unloaded, then a model that no plan names,
	// then one above its floor.
	loss int
}

const (
	lossNone = iota
	lossUnlisted
	lossSurplus
)

// place returns the change with the least loss, on the least used engine; nil if
// there is none.
func (p *planner) place(n need) *change {
	var options []option
	for i := range p.s.Engines {
		e := &p.s.Engines[i]
		if e.Live && !p.changing[e.Ref.ID] && !slices.Contains(e.Models, n.model) {
			options = append(options, p.options(e, n)...)
		}
	}
	if len(options) == 0 {
		return nil
	}
	best := slices.MinFunc(options, func(a, b option) int {
		return cmp.Or(
			cmp.Compare(a.loss, b.loss), cmp.Compare(a.engine.use(), b.engine.use()),
			cmp.Compare(len(a.engine.Models), len(b.engine.Models)), cmp.Compare(a.engine.Ref.ID, b.engine.Ref.ID),
			cmp.Compare(a.drop, b.drop),
		)
	})
	return newChange(best, n.model)
}

func (p *planner) options(e *Engine, n need) []option {
	if len(e.Models) < p.cfg.MaxModelsPerEngine {
		return []option{{engine: e, loss: lossNone}}
	}
	if len(e.Models) > p.cfg.MaxModelsPerEngine {
		return nil // an operator filled it beyond the bound
	}
	var options []option
	for _, m := range e.Models {
		if loss, ok := p.droppable(e, m, n); ok {
			options = append(options, option{e, m, loss})
		}
	}
	return options
}

// droppable tells if a model may be unloaded to make room. The last copy of a
// model that a plan names never is.
func (p *planner) droppable(e *Engine, model string, n need) (loss int, ok bool) {
	if !lasted(p.demand.dwell, loaded{e.Ref.ID, model}, p.now, p.cfg.MinDwell) {
		return 0, false
	}
	if !slices.Contains(p.s.Wanted, model) {
		return lossUnlisted, true
	}
	if p.uses[model].copies-p.dropping[model] <= max(1, p.cfg.Floor) {
		return 0, false
	}
	if _, busy := p.demand.hot[model]; busy {
		return 0, false
	}
	return lossSurplus, n.floor || lasted(p.demand.cold, model, p.now, p.cfg.DemandFor)
}

// change is one engine's way to another state.
type change struct {
	engine domain.UpstreamRef
	load   string
	drop   string
	// base is what the engine had when the change was planned, models what it
	// should have.
	base, models []string
	// accepted is when the engine took the order; zero if it has not.
	accepted time.Time
	// sent is set once an order may have reached the engine.
	sent bool
}

func newChange(o option, load string) *change {
	models := slices.DeleteFunc(slices.Clone(o.engine.Models), func(m string) bool { return m == o.drop })
	return &change{
		engine: o.engine.Ref, load: load, drop: o.drop,
		base: slices.Clone(o.engine.Models), models: append(models, load),
	}
}

func sameModels(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}
