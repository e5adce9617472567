package quota

import (
	"math/rand/v2"
	"time"

	"github.com/crocusspread/crocusspread/core/routes"
)

// simAccount is an account with its demand.
type simAccount struct {
	name        string
	rate, burst float64
	// load is the demand relative to the rate, cost the size of a request.
	load func(at time.Duration) float64
	cost func(r *rand.Rand) float64
	mean float64 // of cost
	// moves is the time between two moves of the demand to another region; zero means that it
	// is in all regions.
	moves time.Duration

	offered, served, denied, unavailable float64
	requests, deniedRequests             int
	// demand is what was asked for, and when; deniedBelow counts the requests that were denied
	// while the demand of the last window was within rate x window + burst.
	demand      []lot
	demanded    float64
	deniedBelow int
	// reference is a bucket of the account's rate and burst that sees all requests.
	reference, referenceServed float64
	referenceAt                time.Duration
	arrivals                   []lot // what arrived at upstreams, and when
	sum                        float64
	highest                    float64
}

// ask records the demand.
func (a *simAccount) ask(s *simulation, cost float64) {
	a.demanded += cost
	a.demand = append(a.demand, lot{cost, s.now})
	for a.demand[0].until < s.now-s.bounds.Window {
		a.demanded -= a.demand[0].tokens
		a.demand = a.demand[1:]
	}
}

func (a *simAccount) deny(s *simulation, cost float64) {
	a.denied += cost
	a.deniedRequests++
	if a.demanded <= a.rate*s.bounds.Window.Seconds()+a.burst {
		a.deniedBelow++
	}
}

// refer counts what a single bucket of the account's rate and burst would serve.
func (a *simAccount) refer(now time.Duration, cost float64) {
	a.reference = min(a.burst, a.reference+a.rate*(now-a.referenceAt).Seconds())
	a.referenceAt = now
	if cost <= a.reference {
		a.reference -= cost
		a.referenceServed += cost
	}
}

func (a *simAccount) quota() *routes.Quota {
	return &routes.Quota{CountsTokens: a.mean > 1, PerSecond: a.rate, Burst: a.burst}
}

func constant(load float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return load }
}

func fixed(cost float64) (func(*rand.Rand) float64, float64) {
	return func(*rand.Rand) float64 { return cost }, cost
}

// mixedCost is that of short questions with a few long prompts.
func mixedCost() (func(*rand.Rand) float64, float64) {
	const largeShare = 0.01
	return func(r *rand.Rand) float64 {
		if r.Float64() < largeShare {
			return float64(17000 + r.IntN(76000))
		}
		return 200
	}, largeShare*55000 + (1-largeShare)*200
}

// longCost is that of long prompts only.
func longCost() (func(*rand.Rand) float64, float64) {
	return func(r *rand.Rand) float64 { return float64(17000 + r.IntN(76000)) }, 55000
}

func account(name string, rate float64, load func(time.Duration) float64, moves time.Duration, cost func(*rand.Rand) float64, mean float64) *simAccount {
	return &simAccount{name: name, rate: rate, burst: rate, load: load, cost: cost, mean: mean, moves: moves}
}

func small(name string, rate, load float64, moves time.Duration, cost float64) *simAccount {
	f, mean := fixed(cost)
	return account(name, rate, constant(load), moves, f, mean)
}

// bursts is a load of 0.55 that rises to 7.5 times that for 6.5 s, every 20 s.
func bursts(at time.Duration) float64 {
	if at%(20*time.Second) > 13500*time.Millisecond {
		return 0.55 * 7.5
	}
	return 0.55
}

func longOf(cost float64) func(*rand.Rand) float64 { return func(*rand.Rand) float64 { return cost } }
