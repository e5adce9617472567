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

// TestSmallServiceIsSharedByManyNodes plays a peak of one region: 24 nodes whose
// own region is full share twelve free places of another one, half a place each.
// Callers must get most of these places and not many more.
func TestSmallServiceIsSharedByManyNodes(t *testing.T) {
	const (
		nodes  = 24
		places = 12
		hold   = 170 * time.Millisecond // a call and the way there and back
		told   = 400 * time.Millisecond
		step   = 10 * time.Millisecond
		length = 20 * time.Second
	)
	draw := rand.New(rand.NewPCG(1, 2))
	type busy struct {
		until time.Time
		done  func()
	}
	views := make([]*peers.Regions, nodes)
	for i := range views {
		views[i] = peers.NewRegions(event.Discard{})
	}
	var held []busy
	served, most := 0, 0
	everywhere := func(domain.Region) bool { return true }
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		rest := held[:0]
		for _, b := range held {
			if now.Before(b.until) {
				rest = append(rest, b)
			} else {
				b.done()
			}
		}
		held = rest
		for i, view := range views {
			if (at+time.Duration(i)*step)%told == 0 { // words arrive one after the other
				free := max(0, float64(places-len(held)))
				view.Told(now, "east", []instances.Load{{Service: "app", Usable: 2, Free: free}}, 0)
			}
			r := placement.Request{Objective: 500 * ms, Left: 4 * time.Second, Spread: draw.Uint32()}
			d := placement.DefaultPolicy().Choose(&r, placement.Speeds{First: 40 * ms, Hold: 60 * ms}, nil, view.Loads(now, "app", nodes, everywhere))
			if d.Choice == placement.Remote {
				served++
				held = append(held, busy{now.Add(hold), view.Sent("east", "app")})
			}
		}
		most = max(most, len(held))
	}
	could := float64(places) * float64(length) / float64(hold)
	t.Logf("%d requests sent, %.0f possible, at most %d at a time", served, could, most)
	if float64(served) < 0.6*could {
		t.Errorf("%d requests got a place, want six tenths of %.0f", served, could)
	}
	if most > 2*places {
		t.Errorf("%d requests at a time for %d places", most, places)
	}
}

const ms = time.Millisecond
