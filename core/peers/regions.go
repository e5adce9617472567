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
	// maxLoadAge is the maximum age of another region's load to be used.
	maxLoadAge = 2500 * time.Millisecond
	// roundTripGain is the weight of one measurement in the round-trip time average.
	roundTripGain = 0.2
	// defaultRoundTrip is assumed until a round trip has been measured.
	defaultRoundTrip = 110 * time.Millisecond
)

// regionView is the last reported load of another region, and this node's requests
// there.
type regionView struct {
	loads map[string]instances.Load
	// inFlight is the number of this node's requests in transit to the region or
	// running there, by service.
	inFlight map[string]float64
	// retained is the number of requests, by service, that this node may keep in
	// flight there in addition to its share of the free slots, as of the last report.
	retained  map[string]float64
	updatedAt time.Time
	roundTrip time.Duration
	reachable bool
}

// age returns the time since the last report, or -1 ms if there was none.
func (v *regionView) age(now time.Time) time.Duration {
	if v.updatedAt.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(v.updatedAt)
}

// Regions holds the last reported load of each other region.
type Regions struct {
	log event.Logger

	mu    sync.Mutex
	views map[domain.Region]*regionView
}

// NewRegions returns a Regions without any loads.
func NewRegions(log event.Logger) *Regions {
	return &Regions{log: log, views: make(map[domain.Region]*regionView)}
}

// View is a node's view of another region's load.
type View struct {
	Region domain.Region
	// Age is the time since a node of the region reported it.
	Age   time.Duration
	Loads []instances.Load
}

// Views returns an arbitrary selection of at most limit views that are recent enough
// to be used.
func (r *Regions) Views(now time.Time, limit int) []View {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []View
	for region, v := range r.views { // map iteration order differs from call to call
		if len(list) == limit {
			break
		}
		if v.age(now) <= maxLoadAge {
			list = append(list, View{Region: region, Age: v.age(now), Loads: slices.Collect(maps.Values(v.loads))})
		}
	}
	return list
}

// MergeViews applies views received from a node of the local region if they are more
// recent than the local ones.
func (r *Regions) MergeViews(now time.Time, views []View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, view := range views {
		if v := r.views[view.Region]; v == nil || view.Age < v.age(now) {
			r.update(now.Add(-view.Age), view.Region, view.Loads, 0)
		}
	}
}

// SetLoads records the loads reported by a node of a region, as of now. The node knows nothing of the unreached services.
// roundTrip is zero if it was not measured.
func (r *Regions) SetLoads(now time.Time, region domain.Region, loads []instances.Load, unreached []string, roundTrip time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.views[region]; v != nil {
		for _, service := range unreached {
			if l, known := v.loads[service]; known {
				loads = append(loads, l)
			}
		}
	}
	r.update(now, region, loads, roundTrip)
}

func (r *Regions) update(now time.Time, region domain.Region, loads []instances.Load, roundTrip time.Duration) {
	v := r.views[region]
	if v == nil {
		v = &regionView{roundTrip: defaultRoundTrip, inFlight: make(map[string]float64)}
		r.views[region] = v
	}
	if !v.reachable {
		v.reachable = true
		r.log.Log(event.DomainChanged, event.F("region", region), event.F("reachable", true), event.F("view_age_ms", v.age(now).Milliseconds()))
	}
	v.loads = make(map[string]instances.Load, len(loads))
	for _, l := range loads {
		v.loads[l.Service] = l
	}
	v.retained = make(map[string]float64, len(v.inFlight))
	for service, n := range v.inFlight {
		v.retained[service] = retainedShare * n
	}
	v.updatedAt = now
	if roundTrip > 0 {
		v.roundTrip += time.Duration(roundTripGain * float64(roundTrip-v.roundTrip))
	}
}

// ExpireViews marks and logs as unreachable the regions whose last report is too old to
// be used.
func (r *Regions) ExpireViews(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for region, v := range r.views {
		if v.reachable && v.age(now) > maxLoadAge {
			v.reachable = false
			r.log.Log(event.DomainChanged, event.F("region", region), event.F("reachable", false), event.F("view_age_ms", v.age(now).Milliseconds()))
		}
	}
}

// MarkFull records that a region refused a request for the service. No more requests are
// sent there until its next report.
func (r *Regions) MarkFull(region domain.Region, service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.views[region]; v != nil {
		l := v.loads[service]
		l.Free = 0
		v.loads[service], v.retained[service] = l, 0
	}
}

// TrackRequest records a request that this node sends to a region. done must be called once
// the request has completed, which frees its slot.
func (r *Regions) TrackRequest(region domain.Region, service string) (done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.views[region]
	if v == nil {
		return func() {}
	}
	v.inFlight[service]++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		v.inFlight[service]--
	}
}

// Loads returns the regions in which the request may run, each with the capacity that
// this node may use there. The free capacity of a region is divided among the given
// number of senders, because all of them receive the same report.
func (r *Regions) Loads(now time.Time, service string, senders int, allows func(domain.Region) bool) []placement.RegionLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []placement.RegionLoad
	for region, v := range r.views {
		l, known := v.loads[service]
		if !known || l.Usable == 0 || !allows(region) || now.Sub(v.updatedAt) > maxLoadAge {
			continue
		}
		list = append(list, placement.RegionLoad{
			Region: region, Delay: l.Delay, RoundTrip: v.roundTrip,
			FreeCapacity: v.retained[service] + l.Free*requestsPerSlot(v.roundTrip, l.MeanSlotTime)/float64(max(1, senders)) - v.inFlight[service],
		})
	}
	return list
}

// retainedShare is the fraction of a node's requests in flight in a region that the
// node may keep there. The reported free capacity does not include these slots, and
// the remainder is released to nodes with fewer requests there.
const retainedShare = 0.9

// maxRequestsPerSlot bounds the requests sent per slot, because slot times are
// estimates.
const maxRequestsPerSlot = 4

// requestsPerSlot returns the number of concurrent requests that keep one slot busy,
// including those in transit in either direction.
func requestsPerSlot(roundTrip, slotTime time.Duration) float64 {
	if slotTime <= 0 {
		return 1
	}
	return min(maxRequestsPerSlot, 1+float64(roundTrip)/float64(slotTime))
}

// Age returns the time since the last report of a region, or -1 ms if there was none.
func (r *Regions) Age(now time.Time, region domain.Region) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.views[region]; v != nil {
		return v.age(now)
	}
	return -time.Millisecond
}
