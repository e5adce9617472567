package relay

import (
	"context"
	"slices"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/placement"
)

// maxUnusablePlaces is the number of granted places that a node returns unused for one attempt,
// because it knows more of the upstream than the broker, before it places the request by itself.
const maxUnusablePlaces = 2

// choose chooses where to send the request: by a granted place, or as place does.
func (a *attempts) choose(ctx context.Context) (placement.Decision, *instances.Ticket) {
	a.permit, a.refusal, a.granted, a.reported = nil, nil, false, instances.ReportedLoad{}
	pathsLost := a.pathsLost()
	if pathsLost && a.r.Relayed {
		a.r.Place = nil
		return a.place(false)
	}
	if granted := a.r.Place; granted != nil { // the sender's broker granted it
		a.r.Place = nil
		if t := a.reserve(granted); t != nil {
			a.granted = true
			return localDecision(t), t
		}
		return a.place(false)
	}
	if a.Places == nil || a.streamSoftware != "" { // brokers know nothing of versions
		return a.place(false)
	}
	excluded := a.tried
	for range maxUnusablePlaces {
		permit, refusal := a.Places.Acquire(ctx, a.r, a.objectiveFrom, excluded)
		switch {
		case refusal != nil:
			a.refusal = refusal
			if d, t := a.place(true); d.Choice == placement.Local {
				return d, t
			}
			return placement.Decision{Choice: placement.Refuse}, nil
		case permit == nil:
			return a.place(false)
		}
		p := permit.Place()
		if p.Region != a.Self.Region {
			a.permit, a.r.Place, a.granted = permit, &p, true
			return placement.Decision{Choice: placement.Remote, Region: p.Region, Usable: 1}, nil
		}
		if pathsLost {
			if a.mayForward(a.Now()) {
				a.permit, a.r.Place, a.granted = permit, &p, true
				return a.forwardDecision(), nil
			}
		} else if t := a.reserve(&p); t != nil {
			a.permit, a.granted = permit, true
			return localDecision(t), t
		}
		a.Metrics.Count("places.unusable", 1)
		permit.Release(PlaceReport{Outcome: instances.Canceled})
		excluded = append(slices.Clone(excluded), p.Instance)
	}
	return a.place(false)
}

func localDecision(t *instances.Ticket) placement.Decision {
	return placement.Decision{Choice: placement.Local, Delay: t.Expected, Usable: 1}
}

// reserve returns the slot of a granted place; nil if it cannot be used here.
func (a *attempts) reserve(p *Place) *instances.Ticket {
	if p.Region != a.Self.Region || slices.Contains(a.tried, p.Instance) {
		return nil
	}
	return a.Catalog.Pool(a.r.Service).Reserve(a.Now(), p.Instance, &instances.Query{Model: a.r.Prompt.Model, Software: a.streamSoftware})
}

// releasePlace returns the granted place of an attempt, if there is one.
func (a *attempts) releasePlace(chosenAt time.Time, res result) {
	a.r.Place = nil
	if a.permit == nil {
		return
	}
	report := PlaceReport{Used: a.Now().Sub(chosenAt), Outcome: res.upstreamOutcome, Load: a.reported}
	if a.ticket == nil && res.ran == domain.RunNo {
		report.Outcome = instances.Shed // the other region had no place
	}
	a.permit.Release(report)
	a.permit = nil
}
