package peers_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/event"
	"github.com/crocusspread/crocusspread/core/instances"
	"github.com/crocusspread/crocusspread/core/peers"
	"github.com/crocusspread/crocusspread/core/placement"
)

// TestSmallServiceIsSharedByManyNodes simulates peak load in one region: 24 nodes
// whose own region is full share twelve free slots of another one, half a slot each.
// Their requests must keep most of these slots busy without many queueing there.
func TestSmallServiceIsSharedByManyNodes(t *testing.T) {
	const (
		nodes          = 24
		slots          = 12
		slotTime       = 60 * time.Millisecond
		roundTrip      = 110 * time.Millisecond
		reportInterval = 400 * time.Millisecond
		step           = 5 * time.Millisecond
		duration       = 20 * time.Second
	)
	rng := rand.New(rand.NewPCG(1, 2))
	type sentRequest struct {
		arrivesAt time.Time
		done      func()
	}
	views := make([]*peers.Regions, nodes)
	for i := range views {
		views[i] = peers.NewRegions(event.Discard{})
	}
	var inFlight []sentRequest
	busy, requestsSent, waiting := 0, 0, 0
	allRegions := func(domain.Region) bool { return true }
	for at := time.Duration(0); at < duration; at += step {
		now := start.Add(at)
		busy = 0
		remaining := inFlight[:0]
		for _, s := range inFlight {
			if !now.Before(s.arrivesAt.Add(slotTime + roundTrip/2)) {
				s.done()
				continue
			}
			remaining = append(remaining, s)
			if !now.Before(s.arrivesAt) && now.Before(s.arrivesAt.Add(slotTime)) {
				busy++
			}
		}
		inFlight = remaining
		waiting += max(0, busy-slots)
		for i, view := range views {
			if (at+time.Duration(i)*step)%reportInterval == 0 { // the nodes receive the report at different times
				load := instances.Load{Service: "app", Usable: 2, Free: float64(slots - busy), MeanSlotTime: slotTime}
				view.SetLoads(now, "east", []instances.Load{load}, nil, roundTrip)
			}
			r := placement.Request{Objective: 500 * ms, Remaining: 4 * time.Second, Random: rng.Uint32()}
			d := placement.DefaultPolicy().Choose(&r, placement.ServicePerformance{IdleTTFB: 40 * ms, MeanSlotTime: slotTime}, nil, view.Loads(now, "app", nodes, allRegions))
			if d.Choice == placement.Remote {
				requestsSent++
				inFlight = append(inFlight, sentRequest{now.Add(roundTrip / 2), view.TrackRequest("east", "app")})
			}
		}
	}
	possible := float64(slots) * float64(duration) / float64(slotTime)
	meanWaiting := float64(waiting) / (float64(duration) / float64(step))
	t.Logf("requests sent: %d, possible: %.0f, waiting on average: %.1f", requestsSent, possible, meanWaiting)
	if float64(requestsSent) < 0.7*possible {
		t.Errorf("got %d requests sent, want at least seven tenths of %.0f", requestsSent, possible)
	}
	if meanWaiting > slots {
		t.Errorf("got %.1f requests waiting on average, want at most %d", meanWaiting, slots)
	}
}

const ms = time.Millisecond
