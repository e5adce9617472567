package routing

import (
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
)

// pcgStream is the second seed word of the random generator of each decision.
const pcgStream = 0x9e3779b97f4a7c15

// Policy is the combination of filters, scorers, picker and gate that makes a
// decision.
type Policy struct {
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
	// Gate decides between the best local upstream and the best remote domain; if
	// nil, the picker chooses among all candidates.
	Gate *Gate
}

// Router makes decisions according to a Policy. It is safe for concurrent use.
type Router struct {
	policy Policy
	views  sync.Pool
}

// New returns a router that applies the policy.
func New(p Policy) *Router {
	return &Router{policy: p, views: sync.Pool{New: func() any { return new(View) }}}
}

// Decide chooses where the request runs, based on the snapshot at the given time.
func (r *Router) Decide(s *Snapshot, req *Request, now time.Time) Decision {
	v := r.views.Get().(*View)
	d := r.decide(v, s, req, now, nil)
	v.release()
	r.views.Put(v)
	return d
}

// recorder receives the steps of a decision for its explanation.
type recorder interface {
	recordRejected(c *Candidate, filter string, reason Reason)
	recordScores(scorer string, all []Scored)
}

func (r *Router) decide(v *View, s *Snapshot, req *Request, now time.Time, rec recorder) Decision {
	listIndex, ok := s.targets[req.Target]
	if !ok {
		return refuse(errkind.UnknownTarget)
	}
	if !req.Allowed.table.equal(s.regions) {
		return refuse(errkind.Internal)
	}
	v.reset(s, req, now)
	kind := r.filter(v, &s.lists[listIndex], rec)
	if len(v.Scored) == 0 {
		return refuse(kind)
	}
	v.estimate()
	for _, sc := range r.policy.Scorers {
		sc.Score(v)
		if rec != nil {
			rec.recordScores(sc.Name(), v.Scored)
		}
	}
	return v.decision(r.pick(v))
}

// filter fills v.Scored and returns the kind of refusal that applies if v.Scored
// remains empty.
func (r *Router) filter(v *View, l *targetList, rec recorder) errkind.Kind {
	kind := errkind.RegionForbidden
	for i := range l.candidates {
		c := &l.candidates[i]
		name, reason := r.check(v, c)
		if reason == Retained {
			v.Scored = append(v.Scored, Scored{Candidate: c})
			if !c.isRemote() {
				v.Local++
			}
			continue
		}
		if reason != ReasonRegion {
			kind = errkind.NoCapacity
		}
		if rec != nil {
			rec.recordRejected(c, name, reason)
		}
	}
	return kind
}

// check returns the name and reason of the first filter that rejects c.
func (r *Router) check(v *View, c *Candidate) (string, Reason) {
	for _, f := range r.policy.Filters {
		if reason := f.Check(v, c); reason != Retained {
			return f.Name(), reason
		}
	}
	return "", Retained
}

// pick chooses one of the scored candidates, subject to the gate.
func (r *Router) pick(v *View) *Scored {
	local, remote := v.Scored[:v.Local], v.Scored[v.Local:]
	if r.policy.Gate == nil || len(local) == 0 || len(remote) == 0 {
		return &v.Scored[r.policy.Picker.Pick(v, v.Scored)]
	}
	bestLocal := &local[r.policy.Picker.Pick(v, local)]
	bestRemote := &remote[r.policy.Picker.Pick(v, remote)]
	if r.policy.Gate.shouldForward(bestLocal.Score - bestRemote.Score) {
		return bestRemote
	}
	return bestLocal
}

func (v *View) reset(s *Snapshot, req *Request, now time.Time) {
	v.Snapshot = s
	v.Request = req
	v.Now = now
	v.Scored = v.Scored[:0]
	v.Local = 0
	v.home = s.regions.Index(req.Home)
	v.random.Seed(req.Seed, pcgStream)
}

// release clears the references of a view before it returns to the pool.
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
		Work:       c.ownWork,
		Link:       c.link,
	}
	if c.isRemote() {
		d.Action = ActionForward
	}
	return d
}
