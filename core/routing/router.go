package routing

import (
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
)

const seedStream = 0x9e3779b97f4a7c15

// Policy is a set of policies that decide together.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
	// Gate weighs the best own upstream against the best other domain; without
	// one the picker chooses among all.
	Gate *Gate
}

// Router decides by one Policy. It is safe for concurrent use.
type Router struct {
	policy Policy
	views  sync.Pool
}

// New returns a router.
func New(p Policy) *Router {
	return &Router{policy: p, views: sync.Pool{New: func() any { return new(View) }}}
}

// Decide chooses where the request runs, from the snapshot as of now.
func (r *Router) Decide(s *Snapshot, req *Request, now time.Time) Decision {
	v := r.views.Get().(*View)
	d := r.decide(v, s, req, now, nil)
	v.release()
	r.views.Put(v)
	return d
}

// recorder receives the steps of a decision that is explained.
type recorder interface {
	dropped(c *Candidate, filter string, why Reason)
	scored(scorer string, all []Scored)
}

func (r *Router) decide(v *View, s *Snapshot, req *Request, now time.Time, rec recorder) Decision {
	index, ok := s.targets[req.Target]
	if !ok {
		return refuse(errkind.UnknownTarget)
	}
	if !req.Allowed.table.equal(s.regions) {
		return refuse(errkind.Internal)
	}
	v.reset(s, req, now)
	kind := r.filter(v, &s.lists[index], rec)
	if len(v.Scored) == 0 {
		return refuse(kind)
	}
	v.estimate()
	for _, sc := range r.policy.Scorers {
		sc.Score(v)
		if rec != nil {
			rec.scored(sc.Name(), v.Scored)
		}
	}
	return v.decision(r.pick(v))
}

// filter fills v.Scored and returns the refusal that holds if it stays empty.
func (r *Router) filter(v *View, l *targetList, rec recorder) errkind.Kind {
	kind := errkind.RegionForbidden
	for i := range l.candidates {
		c := &l.candidates[i]
		name, why := r.check(v, c)
		if why == Kept {
			v.Scored = append(v.Scored, Scored{Candidate: c})
			if !c.away() {
				v.Local++
			}
			continue
		}
		if why != ReasonRegion {
			kind = errkind.NoCapacity
		}
		if rec != nil {
			rec.dropped(c, name, why)
		}
	}
	return kind
}

func (r *Router) check(v *View, c *Candidate) (string, Reason) {
	for _, f := range r.policy.Filters {
		if why := f.Check(v, c); why != Kept {
			return f.Name(), why
		}
	}
	return "", Kept
}

func (r *Router) pick(v *View) *Scored {
	local, away := v.Scored[:v.Local], v.Scored[v.Local:]
	if r.policy.Gate == nil || len(local) == 0 || len(away) == 0 {
		return &v.Scored[r.policy.Picker.Pick(v, v.Scored)]
	}
	here := &local[r.policy.Picker.Pick(v, local)]
	there := &away[r.policy.Picker.Pick(v, away)]
	if r.policy.Gate.sendAway(here.Score - there.Score) {
		return there
	}
	return here
}

func (v *View) reset(s *Snapshot, req *Request, now time.Time) {
	v.Snapshot = s
	v.Request = req
	v.Now = now
	v.Scored = v.Scored[:0]
	v.Local = 0
	v.home = s.regions.Index(req.Home)
	v.random.Seed(req.Seed, seedStream)
}

// release drops what a pooled view points to.
func (v *View) release() {
	v.Snapshot = nil
	v.Request = nil
}

func (v *View) decision(chosen *Scored) Decision {
	c := chosen.Candidate
	d := Decision{
		Action:     ActionLocal,
		Upstream:   c.Upstream,
		Domain:     c.Domain,
		FirstToken: time.Duration(chosen.FirstToken * float64(time.Second)),
		Own:        c.own,
		Link:       c.link,
	}
	if c.away() {
		d.Action = ActionForward
	}
	return d
}
