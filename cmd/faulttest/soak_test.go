package faulttest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/adapters/standin/routedsim"
	"github.com/crocusspread/crocusspread/adapters/standin/storesim"
)

var (
	soakSeeds       = flag.Int("soak.seeds", 2, "number of soak seeds to run")
	soakFirst       = flag.Uint64("soak.first", 1, "first soak seed")
	soakDuration    = flag.Duration("soak.length", 6*time.Second, "duration of the fault injection of each seed")
	soakCallerCount = flag.Int("soak.callers", 12, "number of concurrent callers of each seed")
)

// normalBehaviour delays responses, so that faults occur while requests run.
var normalBehaviour = routedsim.Behaviour{ProcessingTime: 30 * time.Millisecond}

// regressionSeeds are seeds that have failed before, each with the cause. Every run
// includes them.
var regressionSeeds = []uint64{
	10,  // the simulated upstreams stopped streaming before the callers did
	144, // the port of a node was also chosen for another process
}

// TestSoak injects random faults into real processes and checks the responses that
// callers receive against the requests that upstreams run. A seed determines the
// faults and their times, but not how processes interleave.
func TestSoak(t *testing.T) {
	seeds := regressionSeeds
	for i := range *soakSeeds {
		seeds = append(seeds, *soakFirst+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed_", seed), func(t *testing.T) { soak(t, seed) })
	}
}

func soak(t *testing.T, seed uint64) {
	d := newSoakDeployment(t)
	d.setBehaviour(normalBehaviour)
	callers := startSoakCallers(d, *soakCallerCount, seed)
	injected := d.injectFaults(rand.New(rand.NewPCG(seed, 0)), time.Now().Add(*soakDuration))
	d.restore()
	responses := callers.finish()
	d.waitServing("after the faults")
	d.check(responses)
	limitCheck := d.limitOne()
	d.checkCrashingPart()
	d.checkAfterFaults()
	limitCheck()
	if t.Failed() {
		t.Logf("injected faults of seed %d:\n%s", seed, strings.Join(injected, "\n"))
	}
}

// soakFault is a kind of fault. inject starts one and returns the function that ends
// it, or nil if it ends by itself.
type soakFault struct {
	name   string
	inject func(d *soakDeployment, rng *rand.Rand) (end func())
}

// storeFault returns an inject function for faults of the store.
func storeFault(faults storesim.Faults) func(*soakDeployment, *rand.Rand) func() {
	return func(d *soakDeployment, _ *rand.Rand) func() {
		d.store.SetFaults(faults)
		return func() { d.store.SetFaults(storesim.Faults{}) }
	}
}

// upstreamFault returns an inject function that changes the behaviour of a random
// upstream.
func upstreamFault(b routedsim.Behaviour) func(*soakDeployment, *rand.Rand) func() {
	return func(d *soakDeployment, rng *rand.Rand) func() {
		u := d.upstreams[rng.IntN(len(d.upstreams))]
		u.SetBehaviour(b.WithEvents(soakEvents))
		return func() { u.SetBehaviour(normalBehaviour.WithEvents(soakEvents)) }
	}
}

// onNode returns an inject function that calls inject for a random node.
func onNode(inject func(t *testing.T, n *soakNode)) func(*soakDeployment, *rand.Rand) func() {
	return func(d *soakDeployment, rng *rand.Rand) func() {
		inject(d.t, d.nodes[rng.IntN(len(d.nodes))])
		return nil
	}
}

// onUpstream returns an inject function that calls inject for a random upstream. The
// fault ends with end, or by itself if end is nil.
func onUpstream(inject, end func(u *soakUpstream)) func(*soakDeployment, *rand.Rand) func() {
	return func(d *soakDeployment, rng *rand.Rand) func() {
		u := d.upstreams[rng.IntN(len(d.upstreams))]
		inject(u)
		if end == nil {
			return nil
		}
		return func() { end(u) }
	}
}

// restoreLink restores the link to an upstream and resets the connections that still drop
// bytes.
func restoreLink(u *soakUpstream) { u.proxy.restore(); u.proxy.resetOpen() }

// undelimited returns an inject function that makes a random upstream respond with neither
// length nor chunks. If it crashes, it does so within one in crashEvery responses, and cuts
// the others that it is sending.
func undelimited(crashes bool) func(*soakDeployment, *rand.Rand) func() {
	return func(d *soakDeployment, rng *rand.Rand) func() {
		u := d.upstreams[rng.IntN(len(d.upstreams))]
		b := normalBehaviour.WithEvents(soakEvents)
		b.Undelimited, b.EventGap = true, time.Duration(rng.IntN(20))*time.Millisecond
		if crashes {
			b.EndInBody, b.CrashAtEnd = endInBody, true
			b.RestartAfter, b.KeepID = time.Duration(200+rng.IntN(1000))*time.Millisecond, true
		}
		u.undelimited.Add(1)
		u.SetBehaviour(b)
		return func() {
			u.SetBehaviour(normalBehaviour.WithEvents(soakEvents))
			time.AfterFunc(soakTimeout, func() { u.undelimited.Add(-1) })
		}
	}
}

const crashEvery = 4

// endInBody ends one in crashEvery responses, half of them between two parts of the body.
func endInBody(parts []string) int {
	size := len(strings.Join(parts, ""))
	switch {
	case rand.IntN(crashEvery) > 0 || size == 0:
		return -1
	case rand.IntN(2) == 0:
		return rand.IntN(size)
	}
	return len(strings.Join(parts[:rand.IntN(len(parts))], ""))
}

var soakFaults = []soakFault{
	{"kill and restart a node", onNode(func(t *testing.T, n *soakNode) { n.process().kill(); n.restart(t) })},
	{"stop and restart a node", onNode(func(t *testing.T, n *soakNode) { n.process().terminate(); go n.restart(t) })},
	{"reload a node", onNode(func(_ *testing.T, n *soakNode) { n.reload() })},
	{"freeze a node", func(d *soakDeployment, rng *rand.Rand) func() {
		p := d.nodes[rng.IntN(len(d.nodes))].process()
		p.freeze()
		return p.thaw
	}},
	{"disconnect a node from the store", func(d *soakDeployment, rng *rand.Rand) func() {
		n := d.nodes[rng.IntN(len(d.nodes))]
		n.storeProxy.disconnect()
		return n.storeProxy.restore
	}},
	{"drop all bytes on a node's connections to the store", onNode(func(_ *testing.T, n *soakNode) { n.storeProxy.blackholeOpen() })},
	{"store rejects requests", storeFault(storesim.Faults{RejectStatus: http.StatusServiceUnavailable})},
	{"store doesn't respond", storeFault(storesim.Faults{Unresponsive: true})},
	{"store is slow", storeFault(storesim.Faults{Delay: 300 * time.Millisecond})},
	{"store loses responses", storeFault(storesim.Faults{DropResponses: true})},
	{"store sends nothing on watches", storeFault(storesim.Faults{HangWatches: true})},
	{"store loses its history", func(d *soakDeployment, _ *rand.Rand) func() { d.store.CompactHistory(); return nil }},
	{"leases are revoked", func(d *soakDeployment, _ *rand.Rand) func() { d.store.RevokeLeases(); return nil }},
	{"new routing table", func(d *soakDeployment, _ *rand.Rand) func() { d.publishRoutes(); return nil }},
	{"evacuation", func(d *soakDeployment, rng *rand.Rand) func() {
		key := "op/evacuate/" + []string{"west-a", "east-a"}[rng.IntN(2)]
		d.store.Put(key, []byte("{}"))
		return func() { d.store.Delete(key) }
	}},
	{"upstream loses responses", upstreamFault(routedsim.Behaviour{DropResponses: true})},
	{"upstream sheds load", upstreamFault(routedsim.Behaviour{RejectAll: true})},
	{"upstream returns errors", upstreamFault(routedsim.Behaviour{Status: http.StatusInternalServerError})},
	{"upstream truncates streams", upstreamFault(routedsim.Behaviour{CloseAfterEvents: 2})},
	{"upstream sends neither length nor chunks", undelimited(false)},
	{"upstream sends neither length nor chunks and crashes", undelimited(true)},
	{"a part crashes upstreams", func(d *soakDeployment, _ *rand.Rand) func() {
		d.setBehaviour(crashOn(normalBehaviour, crashingSoakPart))
		return func() { d.setBehaviour(normalBehaviour) }
	}},
	{"upstream names a rate limit", func(d *soakDeployment, rng *rand.Rand) func() {
		limited := normalBehaviour
		limited.RateLimit = 1 + float64(rng.IntN(100))/10
		return upstreamFault(limited)(d, rng)
	}},
	{"upstream is slow", upstreamFault(routedsim.Behaviour{ProcessingTime: 400 * time.Millisecond})},
	{"connections to an upstream closed", onUpstream((*soakUpstream).closeConnections, nil)},
	{"connections to an upstream drop all bytes", onUpstream(func(u *soakUpstream) { u.proxy.blackholeOpen() }, restoreLink)},
	{"link to an upstream drops all bytes", onUpstream(func(u *soakUpstream) { u.proxy.blackhole() }, restoreLink)},
	{"responses of an upstream lost on the link", onUpstream(func(u *soakUpstream) { u.proxy.dropResponses() }, restoreLink)},
	{"upstream drains", onUpstream(func(u *soakUpstream) { u.Register("draining") }, func(u *soakUpstream) { u.Register("ready") })},
	{"a region's upstreams drain", func(d *soakDeployment, rng *rand.Rand) func() {
		region := []string{"west", "east"}[rng.IntN(2)]
		register := func(state string) {
			for _, u := range d.upstreams {
				if u.region == region {
					u.Register(state)
				}
			}
		}
		register("draining")
		return func() { register("ready") }
	}},
	{"registration of an upstream corrupted", func(d *soakDeployment, rng *rand.Rand) func() {
		u := d.upstreams[rng.IntN(len(d.upstreams))]
		d.store.Put("servers/"+u.ID, []byte(`{"service": []}`))
		return func() { u.Register("ready") }
	}},
}

// injectFaults injects random faults until the given time; several may overlap. It
// returns a log of the injected faults.
func (d *soakDeployment) injectFaults(rng *rand.Rand, until time.Time) (injected []string) {
	started := time.Now()
	type activeFault struct {
		endAt time.Time
		end   func()
	}
	var active []activeFault
	for time.Now().Before(until) {
		fault := soakFaults[rng.IntN(len(soakFaults))]
		injected = append(injected, fmt.Sprintf("%6d ms  %s", time.Since(started).Milliseconds(), fault.name))
		if end := fault.inject(d, rng); end != nil {
			active = append(active, activeFault{time.Now().Add(time.Duration(300+rng.IntN(2500)) * time.Millisecond), end})
		}
		time.Sleep(time.Duration(50+rng.IntN(500)) * time.Millisecond)
		var remaining []activeFault
		for _, a := range active {
			if time.Now().After(a.endAt) {
				a.end()
			} else {
				remaining = append(remaining, a)
			}
		}
		active = remaining
	}
	for _, a := range active {
		a.end()
	}
	return injected
}

// setBehaviour sets the behaviour of all upstreams; a limited one keeps its limit.
func (d *soakDeployment) setBehaviour(b routedsim.Behaviour) {
	for _, u := range d.upstreams {
		b.RateLimit = 0
		if u == d.limited {
			b.RateLimit = soakRateLimit
		}
		u.SetBehaviour(b.WithEvents(soakEvents))
	}
}

// soakRateLimit is the limit that one upstream names after the faults, in requests per second.
// In any rateLimitWindow it may get rateLimitTolerance times what that allows, plus
// rateLimitSlack, from contactPeriod after it named the limit.
const (
	soakRateLimit      = 2
	rateLimitWindow    = 4 * time.Second
	rateLimitTolerance = 1.5
	rateLimitSlack     = 5
)

// limitOne makes one upstream name a limit, and returns a function that checks that it got no
// more requests.
func (d *soakDeployment) limitOne() (check func()) {
	d.limited = d.upstreams[1]
	d.setBehaviour(normalBehaviour)
	from := time.Now().Add(contactPeriod)
	return func() {
		time.Sleep(time.Until(from.Add(rateLimitWindow)))
		allowed := int(rateLimitTolerance*soakRateLimit*rateLimitWindow.Seconds()) + rateLimitSlack
		if got := d.limited.MaxArrivals(from, rateLimitWindow); got > allowed {
			d.t.Errorf("upstream %s, which had named a limit of %d a second, got %d requests in %v, want at most %d", d.limited.ID, soakRateLimit, got, rateLimitWindow, allowed)
		}
	}
}

// check compares the responses with the runs at the upstreams.
func (d *soakDeployment) check(responses []soakResponse) {
	runs := d.runs()
	served := 0
	for _, r := range responses {
		if problem := r.problem(); problem != "" {
			d.t.Errorf("request %s: %s: status %d, %q", r.id, problem, r.status, r.body)
		}
		if r.guaranteesNotRun() && runs[r.id] > 0 {
			d.t.Errorf("request %s was rejected with status %d, but ran %d times", r.id, r.status, runs[r.id])
		}
		if repeatable := r.kind == "safe" || r.kind == "stream"; !repeatable && runs[r.id] > 1 {
			d.t.Errorf("request %s ran %d times, want at most 1", r.id, runs[r.id])
		}
		if r.status == http.StatusNotFound {
			d.t.Errorf("request %s got status 404", r.id)
		}
		if r.status == http.StatusOK && !r.truncated {
			served++
		}
	}
	for _, u := range d.upstreams {
		for id := range u.Executions() {
			if isHomeRequest(id) && u.region != "west" {
				d.t.Errorf("request %s ran in region %s, want west", id, u.region)
			}
		}
	}
	d.checkRepeats(runs, len(responses))
	d.t.Logf("%d requests, %d served", len(responses), served)
	if served < len(responses)/10 {
		d.t.Errorf("%d of %d requests were served, want at least a tenth", served, len(responses))
	}
}

// checkRepeats checks that repeated runs stay within the retry budget, which all nodes
// share.
func (d *soakDeployment) checkRepeats(runs map[string]int, requests int) {
	repeats := 0
	for _, n := range runs {
		repeats += max(0, n-1)
	}
	windows := 1 + int(*soakDuration/soakBudgetWindow)
	if limit := soakBudgetRatio*float64(requests) + float64(windows*soakBudgetSlack); float64(repeats) > limit {
		d.t.Errorf("%d repeated runs, but the retry budget allows %.0f", repeats, limit)
	}
}

const (
	// contactPeriod is how long after the fifth crash requests with a part that crashes
	// upstreams may still reach upstreams; later maxFurtherArrivals of them may.
	contactPeriod      = 5 * time.Second
	maxFurtherArrivals = 3
	crashesBeforeLimit = 5
)

// checkCrashingPart checks that requests with a part that crashes upstreams stop reaching
// them, whichever node they arrive at, while sound ones with the same first part are served.
func (d *soakDeployment) checkCrashingPart() {
	before := d.crashCount()
	d.setBehaviour(crashOn(normalBehaviour, finalCrashingSoakPart))
	defer d.setBehaviour(normalBehaviour)
	for refusing := 0; refusing < len(d.nodes) && d.crashCount() < before+crashesBeforeLimit; {
		refusing = 0
		for _, n := range d.nodes {
			if n.sendOnce(finalCrashingKind, "first").status == http.StatusUnprocessableEntity {
				refusing++
			}
			n.sendOnce("once", "beside")
		}
		time.Sleep(100 * time.Millisecond)
	}
	if d.crashCount() >= before+crashesBeforeLimit {
		time.Sleep(contactPeriod)
	}
	for _, u := range d.upstreams {
		waitFor(d.t, u.ID+" to run again", u.Running)
	}
	arrived := d.arrivals(finalCrashingKind)
	served := 0
	const rounds = 10
	for range rounds {
		for _, n := range d.nodes {
			n.sendOnce(finalCrashingKind, "further")
			if r := n.sendOnce("once", "sound"); r.status == http.StatusOK && r.problem() == "" {
				served++
			}
		}
	}
	for _, u := range d.upstreams {
		waitFor(d.t, u.ID+" to run again", u.Running)
	}
	if got := d.arrivals(finalCrashingKind) - arrived; got > maxFurtherArrivals {
		d.t.Errorf("%d requests with a part that had crashed %d upstreams reached upstreams, want at most %d", got, d.crashCount()-before, maxFurtherArrivals)
	}
	if sent := rounds * len(d.nodes); 2*served < sent {
		d.t.Errorf("%d of %d sound requests were served beside those with a part that crashes upstreams, want at least half", served, sent)
	}
}

// crashCount returns how often upstreams have crashed.
func (d *soakDeployment) crashCount() int {
	n := 0
	for _, u := range d.upstreams {
		n += len(u.Crashes())
	}
	return n
}

// arrivals returns how often requests of a kind reached upstreams.
func (d *soakDeployment) arrivals(kind string) int {
	n := 0
	for _, u := range d.upstreams {
		for id, count := range u.Arrivals() {
			if strings.HasPrefix(id, kind+"-") {
				n += count
			}
		}
	}
	return n
}

// crashOn returns a copy of a behaviour with which upstreams crash on a part of a prompt.
func crashOn(b routedsim.Behaviour, part string) routedsim.Behaviour {
	b.CrashPart, b.RestartAfter, b.KeepID = part, 2*time.Second, true
	return b
}

// checkAfterFaults checks that the nodes recover once all faults have ended: they adopt a
// new routing table and send no requests to a draining upstream.
func (d *soakDeployment) checkAfterFaults() {
	d.setBehaviour(normalBehaviour)
	want := "u-"
	if d.publishRoutes()%2 == 0 {
		want = "u2-"
	}
	for _, n := range d.nodes {
		waitFor(d.t, n.name+" to adopt the newest routing table", func() bool { return strings.HasPrefix(n.sendOnce("safe", "end").body, want) })
	}
	draining := d.upstreams[0]
	draining.Register("draining")
	time.Sleep(4 * time.Second) // a draining upstream may still receive requests for 3 s
	before := len(draining.Executions())
	for range 20 {
		for _, n := range d.nodes {
			n.sendOnce("call", "leaving")
		}
	}
	if got := len(draining.Executions()) - before; got > 0 {
		d.t.Errorf("%d requests reached a draining upstream, want none", got)
	}
}
