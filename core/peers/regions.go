package peers

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/placement"
)

const (
	// loadAge is how old another region's load may be to be used.
	loadAge = 2500 * time.Millisecond
	// roundTripGain is the weight of one measured round trip.
	roundTripGain = 0.2
	// defaultRoundTrip is assumed until one was measured.
	defaultRoundTrip = 110 * time.Millisecond
)

type regionView struct {
	loads map[string]instances.Load
	// under counts this node's requests on the way there or being served, by
	// service, and kept those that it may keep there as of the last word.
	under     map[string]float64
	kept      map[string]float64
	at        time.Time
	roundTrip time.Duration
	reachable bool
}

// age is how old the last word is, -1 if there was none.
func (v *regionView) age(now time.Time) time.Duration {
	if v.at.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(v.at)
}

// Regions holds the last load that each other region told.
type Regions struct {
	log event.Logger

	mu  sync.Mutex
	all map[domain.Region]*regionView
}

// NewRegions returns an empty view.
func NewRegions(log event.Logger) *Regions {
	return &Regions{log: log, all: make(map[domain.Region]*regionView)}
}

// View is what a node knows of another region's load.
type View struct {
	Region domain.Region
	// Age is the time since a node of the region told it.
	Age   time.Duration
	Loads []instances.Load
}

// Views returns at most that many views that are recent enough to be used, any
// of them.
func (r *Regions) Views(now time.Time, most int) []View {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []View
	for region, v := range r.all { // the order differs from call to call
		if len(list) == most {
			break
		}
		if v.age(now) <= loadAge {
			list = append(list, View{Region: region, Age: v.age(now), Loads: slices.Collect(maps.Values(v.loads))})
		}
	}
	return list
}

// Heard adopts what a node of the own region knows of other regions, where that
// is more recent.
func (r *Regions) Heard(now time.Time, views []View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, heard := range views {
		if v := r.all[heard.Region]; v == nil || heard.Age < v.age(now) {
			r.told(now.Add(-heard.Age), heard.Region, heard.Loads, 0)
		}
	}
}

// Told adopts a region's loads as of now; roundTrip is zero if it was not
// measured.
func (r *Regions) Told(now time.Time, region domain.Region, loads []instances.Load, roundTrip time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told(now, region, loads, roundTrip)
}

func (r *Regions) told(now time.Time, region domain.Region, loads []instances.Load, roundTrip time.Duration) {
	v := r.all[region]
	if v == nil {
		v = &regionView{roundTrip: defaultRoundTrip, under: make(map[string]float64)}
		r.all[region] = v
	}
	if !v.reachable {
		v.reachable = true
		r.log.Log(event.DomainChanged, event.F("region", region), event.F("reachable", true), event.F("view_age_ms", v.age(now).Milliseconds()))
	}
	v.loads = make(map[string]instances.Load, len(loads))
	for _, l := range loads {
		v.loads[l.Service] = l
	}
	v.kept = make(map[string]float64, len(v.under))
	for service, n := range v.under {
		v.kept[service] = keptShare * n
	}
	v.at = now
	if roundTrip > 0 {
		v.roundTrip += time.Duration(roundTripGain * float64(roundTrip-v.roundTrip))
	}
}

// Sweep notes regions whose last word is too old to be used.
func (r *Regions) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for region, v := range r.all {
		if v.reachable && v.age(now) > loadAge {
			v.reachable = false
			r.log.Log(event.DomainChanged, event.F("region", region), event.F("reachable", false), event.F("view_age_ms", v.age(now).Milliseconds()))
		}
	}
}

// Full notes that a region refused a request of the service: it gets no more
// until its next word.
func (r *Regions) Full(region domain.Region, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.all[region]; v != nil {
		l := v.loads[service]
		l.Free = 0
		v.loads[service], v.kept[service] = l, 0
	}
}

// Sent notes a request that this node sends to a region; done must be called
// when it has ended, as its place is free again then.
func (r *Regions) Sent(region domain.Region, service string) (done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.all[region]
	if v == nil {
		return func() {}
	}
	v.under[service]++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		v.under[service]--
	}
}

// Loads returns the regions that the request may run in, with the room that this
// node may use of them: what is free is shared with the senders nodes that read
// the same word.
func (r *Regions) Loads(now time.Time, service string, senders int, allows func(domain.Region) bool) []placement.RegionLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []placement.RegionLoad
	for region, v := range r.all {
		l, known := v.loads[service]
		if !known || l.Usable == 0 || !allows(region) || now.Sub(v.at) > loadAge {
			continue
		}
		list = append(list, placement.RegionLoad{
			Region: region, Delay: l.Delay, RoundTrip: v.roundTrip,
			Free: v.kept[service] + l.Free*onTheWay(v.roundTrip, l.Hold)/float64(max(1, senders)) - v.under[service],
		})
	}
	return list
}

// keptShare is the part of its requests in a region that a node goes on having
// there: what is free is told without them, and the rest makes room for nodes that
// have fewer.
const keptShare = 0.9

// maxOnTheWay bounds the requests sent for one place, as holds are estimates.
const maxOnTheWay = 4

// onTheWay is the number of requests that keep one place busy, those that travel
// there and back included.
func onTheWay(roundTrip, hold time.Duration) float64 {
	if hold <= 0 {
		return 1
	}
	return min(maxOnTheWay, 1+float64(roundTrip)/float64(hold))
}

// Age returns how old the last word of a region is, -1 if there was none.
func (r *Regions) Age(now time.Time, region domain.Region) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.all[region]; v != nil {
		return now.Sub(v.at)
	}
	return -1
}
