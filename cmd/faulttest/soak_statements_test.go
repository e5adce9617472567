package faulttest

import (
	"net/http"
	"time"
)

// Upstreams with a cold phase are cold for soakColdPeriod after a start. In any second all nodes together
// may send one of them coldTolerance times its rate, plus coldSlack.
const (
	soakColdPeriod = 2 * time.Second
	soakColdRate   = 4
	coldTolerance  = 1.5
	coldSlack      = 3
)

func (d *soakDeployment) checkColdArrivals() {
	allowed := int(coldTolerance*soakColdRate) + coldSlack
	for _, u := range d.cold {
		if got := u.MaxColdArrivals(0); got > allowed {
			d.t.Errorf("upstream %s got %d requests in a second while it was cold, want at most %d", u.ID, got, allowed)
		}
	}
}

const (
	// crashesOfRequest is the number of crashes after which, from contactPeriod on, a request that crashes
	// upstreams may reach them maxFurtherArrivals times.
	crashesOfRequest = 3
	maxCrashRounds   = 200
)

// checkCrashingRequest checks that a request that crashes upstreams stops reaching them, at whichever node it
// comes again.
func (d *soakDeployment) checkCrashingRequest() {
	before := d.crashCount()
	b := crashOn(normalBehaviour, "")
	b.CrashTarget = crashingRequestTarget
	d.setBehaviour(b)
	defer d.setBehaviour(normalBehaviour)
	for range maxCrashRounds {
		for _, n := range d.nodes {
			n.sendOnce(crashingRequestKind, "first")
		}
		if d.crashCount() >= before+crashesOfRequest || d.allRefuseCrashingRequest() {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(contactPeriod)
	arrived := d.arrivals(crashingRequestKind)
	for range 10 {
		for _, n := range d.nodes {
			n.sendOnce(crashingRequestKind, "further")
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, u := range d.upstreams {
		waitFor(d.t, u.ID+" to run again", u.Running)
	}
	if got := d.arrivals(crashingRequestKind) - arrived; got > maxFurtherArrivals {
		d.t.Errorf("a request that had crashed %d upstreams reached upstreams %d times more, want at most %d", d.crashCount()-before, got, maxFurtherArrivals)
	}
}

// allRefuseCrashingRequest reports whether all nodes hold the request back, as they may since the faults.
func (d *soakDeployment) allRefuseCrashingRequest() bool {
	for _, n := range d.nodes {
		if n.sendOnce(crashingRequestKind, "held").status != http.StatusUnprocessableEntity {
			return false
		}
	}
	return true
}

// drainPeriod is how long after a node has passed on an answer with which an upstream says that it leaves
// requests from the node may still reach it.
const drainPeriod = 3 * time.Second

// checkLeavingUpstream checks that an upstream that says in its answers that it leaves gets no requests, while its
// entry says that it is ready and one node is cut off from the store.
func (d *soakDeployment) checkLeavingUpstream() {
	u := d.upstreams[0]
	u.Register("ready")
	leaving := normalBehaviour.WithEvents(soakEvents)
	leaving.Leaving = true
	d.nodes[0].storeProxy.disconnect()
	u.SetBehaviour(leaving)
	defer startAgain(u)
	told := time.Now()
	for time.Since(told) < drainPeriod+time.Second {
		d.sendCalls("leaves")
	}
	before := len(u.Arrivals())
	for range 10 {
		d.sendCalls("left")
	}
	d.nodes[0].storeProxy.restore()
	if got := len(u.Arrivals()) - before; got > 0 {
		d.t.Errorf("%d requests reached upstream %s, which had said that it leaves, want none", got, u.ID)
	}
}

// sendCalls sends a request to each node.
func (d *soakDeployment) sendCalls(sender string) {
	for _, n := range d.nodes {
		n.sendOnce("call", sender)
	}
}

// From silenceNotice after an upstream has asked a node for no requests, maxSilentArrivals from that node may
// reach it until the end of that time.
const (
	silenceNotice     = 500 * time.Millisecond
	maxSilentArrivals = 2
	soakSilence       = 2 * time.Second
)

// checkSilentUpstream checks that an upstream that asks for no requests gets none. Its time runs from each
// answer with which it asks, so that the arrivals in any such time are counted.
func (d *soakDeployment) checkSilentUpstream() {
	u := d.upstreams[1]
	silent := normalBehaviour.WithEvents(soakEvents)
	silent.RejectAll, silent.RetryAfter = true, "2.0"
	u.SetBehaviour(silent)
	defer d.setBehaviour(normalBehaviour)
	asked := time.Now()
	for time.Since(asked) < 2*soakSilence {
		d.sendCalls("silence")
	}
	nodesOfRegion := len(d.nodes) / 2
	// A silence may end within the window, and the request that ends it is rejected again.
	allowed := nodesOfRegion * (maxSilentArrivals + 1)
	if got := u.MaxArrivals(asked.Add(silenceNotice), soakSilence-silenceNotice); got > allowed {
		d.t.Errorf("%d requests reached upstream %s, which wanted none, in %v, want at most %d", got, u.ID, soakSilence-silenceNotice, allowed)
	}
}
