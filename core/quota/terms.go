package quota

import (
	"time"

	"github.com/crocusspread/crocusspread/core/routes"
)

// Bounds is the limit that holds for every account: in any window, its requests count for
// at most (rate x Window + burst) x (1 + Over) + Slack.
type Bounds struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

// Limit returns what the requests of an account may count for in any window.
func (b Bounds) Limit(rate, burst float64) float64 {
	return (rate*b.Window.Seconds()+burst)*(1+b.Over) + b.Slack
}

const (
	// MaxValidity is how long granted tokens may be used, from the authority's grant
	// to the charge of a request, whatever nodes they pass.
	MaxValidity = time.Second
	// maxValidityFraction is the fraction of an account's excess that the validity of
	// grants may use up. It shortens the validity for accounts with a small burst.
	maxValidityFraction = 0.5
	// swingFraction, emergencyFraction and delayFraction divide what the validity of
	// grants leaves of an account's excess: for the range of the authority's bucket, for
	// nodes that reach neither a holder nor the authority, and for requests that reach
	// their upstream some time after they were charged. They sum up to one.
	swingFraction     = 0.75
	emergencyFraction = 0.05
	delayFraction     = 0.2
	// depthFraction is the fraction of the burst that an authority saves up.
	depthFraction = 0.5
	// largestRequest is the size in tokens of the largest requests that are expected. An
	// account whose burst is below largeBurst times that may run up an extended debt.
	largestRequest = 100000
	largeBurst     = 4
	// extendedDebtTime is the time of the account's rate by which an account may exceed the
	// range of the bucket that has used about its quota or less in the window. A new
	// authority that does not know the debt waits for that time.
	extendedDebtTime = 2 * time.Second
	// debtRequests is the number of largest requests that may be granted in addition to
	// the burst, as far as the limit allows.
	debtRequests = 3
)

// Terms is how the limit of an account is divided. What an account may use beyond its rate
// in a window, the excess, is Limit - rate x Window. Tokens that are used in a window were
// granted in one that is longer by the validity and by the delay up to the upstream, so
//
//	rate x Validity + Swing + Emergency + rate x Delay = excess.
type Terms struct {
	// Rate is in tokens per second.
	Rate  float64
	Burst float64
	// Validity is how long after its grant a token may be used.
	Validity time.Duration
	// Depth is the maximum level of the authority's bucket, Swing the maximum difference
	// of its levels; below zero, the bucket is in debt.
	Depth, Swing float64
	// Extended is by how much an account may exceed the swing that has used less than Regular
	// in the window.
	Extended float64
	// Emergency is what all nodes together may use in a window without a grant.
	Emergency float64
	// Delay is the time from the charge of a request until its upstream has it up to which
	// the limit holds, if everything else is used up.
	Delay time.Duration
	// Window is the time in which the tokens were granted that are used in a window of the
	// bounds, MaxGranted what may be granted in it.
	Window     time.Duration
	MaxGranted float64
	// Regular is what may be granted in that time with an extended debt: the mean of what
	// rate and burst grant and of MaxGranted.
	Regular float64
}

// Terms divides the limit of a quota, which must have a rate.
func (b Bounds) Terms(q *routes.Quota) Terms {
	rate, burst := q.PerSecond, q.Burst
	t := Terms{Rate: rate, Burst: burst}
	limit := b.Limit(rate, burst)
	excess := limit - rate*b.Window.Seconds()
	validity := min(MaxValidity.Seconds(), maxValidityFraction*excess/rate)
	t.Validity = seconds(validity)
	left := excess - rate*validity
	t.Swing = swingFraction * left
	if !q.CountsTokens {
		t.Swing = min(t.Swing, burst+debtRequests)
	} else if burst < largeBurst*largestRequest {
		t.Extended = rate * extendedDebtTime.Seconds()
	}
	t.Depth = min(depthFraction*burst, t.Swing)
	t.Emergency = emergencyFraction * left
	t.Delay = seconds(delayFraction * left / rate)
	t.Window = b.Window + t.Validity + t.Delay
	t.Regular = (rate*t.Window.Seconds() + burst + limit - t.Emergency) / 2
	t.MaxGranted = limit - t.Emergency
	return t
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// refill returns how long the account's rate takes for a number of tokens.
func (t *Terms) refill(tokens float64) time.Duration { return seconds(max(0, tokens) / t.Rate) }

// largeRequestTime is the time of the account's rate above which a request counts as large.
// Large requests are drawn for one by one and do not count in the expected demand.
const largeRequestTime = 0.05 // seconds

func (t *Terms) isLarge(cost float64) bool { return cost > largeRequestTime*t.Rate }
