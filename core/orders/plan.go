package orders

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
)

// need is a model that should be loaded on one more engine.
type need struct {
	model string
	// missing is set if the model is below Config.MinReplicas, and not only at high
	// utilization.
	missing bool
}

// planner plans changes for one observation of the engines.
type planner struct {
	cfg          Config
	now          time.Time
	demand       *demandTracker
	view         DomainView
	usageByModel map[string]usage
	// changing holds the engines, and loading the models, with a pending change.
	changing map[domain.UpstreamID]bool
	loading  map[string]bool
	// unloading counts the replicas that pending changes unload, by model.
	unloading map[string]int
}

func newPlanner(cfg Config, now time.Time, d *demandTracker, s DomainView, pending map[domain.UpstreamID]*change) *planner {
	p := &planner{
		cfg: cfg, now: now, demand: d, view: s, usageByModel: usages(s.Engines),
		changing: make(map[domain.UpstreamID]bool), loading: make(map[string]bool), unloading: make(map[string]int),
	}
	for _, c := range pending {
		p.addChange(c)
	}
	return p
}

func (p *planner) addChange(c *change) {
	p.changing[c.engine.ID] = true
	p.loading[c.load] = true
	if c.unload != "" {
		p.unloading[c.unload]++
	}
}

// plan returns new changes: first for models below Config.MinReplicas, then for
// models at high utilization. It returns none while any live engine has not reported its
// models, because the model may already be loaded there.
func (p *planner) plan() []*change {
	live := 0
	for _, e := range p.view.Engines {
		if e.Live && !e.Reported {
			return nil
		}
		if e.Live {
			live++
		}
	}
	budget := max(1, int(p.cfg.MaxChangingFraction*float64(live))) - len(p.changing)
	var changes []*change
	for _, n := range p.needs() {
		if len(changes) >= budget {
			break
		}
		if c := p.place(n); c != nil {
			p.addChange(c)
			changes = append(changes, c)
		}
	}
	return changes
}

func (p *planner) needs() []need {
	var missing, highUse []need
	for _, m := range p.view.DesiredModels {
		switch {
		case p.loading[m]:
		case heldFor(p.demand.missing, m, p.now, p.cfg.MissingDuration):
			missing = append(missing, need{m, true})
		case heldFor(p.demand.highUse, m, p.now, p.cfg.DemandDuration):
			highUse = append(highUse, need{m, false})
		}
	}
	return append(missing, highUse...)
}

// option is a possible change that satisfies a need.
type option struct {
	engine *Engine
	unload string
	// loss is the cost of the option, in increasing order: nothing is unloaded, a
	// model that is in no plan, a model above Config.MinReplicas.
	loss int
}

const (
	lossNone = iota
	lossUnlisted
	lossSurplus
)

// place returns the change with the least loss, on the engine with the lowest
// utilization; nil if there is none.
func (p *planner) place(n need) *change {
	var options []option
	for i := range p.view.Engines {
		e := &p.view.Engines[i]
		if e.Live && !p.changing[e.Ref.ID] && !slices.Contains(e.Models, n.model) {
			options = append(options, p.options(e, n)...)
		}
	}
	if len(options) == 0 {
		return nil
	}
	best := slices.MinFunc(options, func(a, b option) int {
		return cmp.Or(
			cmp.Compare(a.loss, b.loss), cmp.Compare(a.engine.utilization(), b.engine.utilization()),
			cmp.Compare(len(a.engine.Models), len(b.engine.Models)), cmp.Compare(a.engine.Ref.ID, b.engine.Ref.ID),
			cmp.Compare(a.unload, b.unload),
		)
	})
	return newChange(best, n.model)
}

func (p *planner) options(e *Engine, n need) []option {
	if len(e.Models) < p.cfg.MaxModelsPerEngine {
		return []option{{engine: e, loss: lossNone}}
	}
	if len(e.Models) > p.cfg.MaxModelsPerEngine {
		return nil // an operator loaded more models than the limit
	}
	var options []option
	for _, m := range e.Models {
		if loss, ok := p.canUnload(e, m, n); ok {
			options = append(options, option{e, m, loss})
		}
	}
	return options
}

// canUnload reports whether a model may be unloaded to make room. The last replica
// of a model that is in a plan is never unloaded.
func (p *planner) canUnload(e *Engine, model string, n need) (loss int, ok bool) {
	if !heldFor(p.demand.loadedSince, placement{e.Ref.ID, model}, p.now, p.cfg.MinLoadedTime) {
		return 0, false
	}
	if !slices.Contains(p.view.DesiredModels, model) {
		return lossUnlisted, true
	}
	if p.usageByModel[model].replicas-p.unloading[model] <= max(1, p.cfg.MinReplicas) {
		return 0, false
	}
	if _, busy := p.demand.highUse[model]; busy {
		return 0, false
	}
	return lossSurplus, n.missing || heldFor(p.demand.lowUse, model, p.now, p.cfg.DemandDuration)
}

// change is a planned change of one engine's set of models.
type change struct {
	engine domain.UpstreamRef
	load   string
	unload string
	// baseModels are the engine's models when the change was planned, models the
	// desired ones.
	baseModels, models []string
	// accepted is when the engine accepted the order; zero if it has not.
	accepted time.Time
	// sent is set once an order may have reached the engine.
	sent bool
}

func newChange(o option, load string) *change {
	models := slices.DeleteFunc(slices.Clone(o.engine.Models), func(m string) bool { return m == o.unload })
	return &change{
		engine: o.engine.Ref, load: load, unload: o.unload,
		baseModels: slices.Clone(o.engine.Models), models: append(models, load),
	}
}

func sameModels(a, b []string) bool {
	return slices.Equal(slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b)))
}
