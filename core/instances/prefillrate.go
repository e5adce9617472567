package instances

import (
	"time"
)

const (
	// minRateSampleTokens is the smallest prefill that is measured: the time of a shorter
	// one is dominated by the network and the first decoding step.
	minRateSampleTokens = 1500
	// minTTFB is the time to first byte at an idle upstream, without prefill, that even
	// the fastest answers take.
	minTTFB = 10 * time.Millisecond
	// rateSamples is the number of latest samples that are retained, minRateSamples the
	// number from which they replace the assumed rate.
	rateSamples    = 256
	minRateSamples = 8
	// rateQuantile is the quantile of the samples that is the estimate. Most disturbances
	// lower a sample: other nodes' requests that wait at the engine, and cached prompt
	// parts that were evicted. A lower quantile underestimates the engines the more
	// the busier they are, and requests are refused that could be served.
	rateQuantile = 0.9
	// minPrefillShare is the smallest part of the time to first byte that counts as prefill.
	// A sample that hardly exceeds the time without prefill would be a huge rate.
	minPrefillShare = 0.4
)

// prefillRate estimates the rate at which the engines of a pool prefill prompts while
// they generate tokens, from the time to first byte of answers.
type prefillRate struct {
	// tokensPerMS is the estimate in tokens per millisecond.
	tokensPerMS float64
	// samples are the rates of single answers.
	samples latestSamples[float64]
}

// record adds an answer whose first byte arrived after the given time at an engine that
// had to prefill the given number of tokens. idle is the time to first byte without prefill.
func (r *prefillRate) record(tokens float64, took, idle time.Duration) {
	maxOther := max(minTTFB, time.Duration((1-minPrefillShare)*float64(took)))
	prefillTime := max(time.Millisecond, took-min(maxOther, minTTFB+max(0, idle-defaultIdleTTFB)))
	sample := tokens / (float64(prefillTime) / float64(time.Millisecond))
	r.samples.add(sample, rateSamples)
	if len(r.samples.values) >= minRateSamples {
		r.tokensPerMS = r.samples.quantile(rateQuantile)
	}
}

// measurePrefill updates the prefill rate after the first byte of an answer. Samples are
// prompts whose shared parts were expected to be cached, because a part that is cached
// unexpectedly would raise the rate, at engines without a larger backlog, whose size is
// itself an estimate.
func (p *Pool) measurePrefill(t *Ticket, took time.Duration) {
	if p.config.Engine == nil || t.answerStarted || t.queued || t.Cold || t.tokens < minRateSampleTokens || !t.sharedCached || t.pendingBefore > float64(t.tokens) {
		return
	}
	// The speed may have changed in the meantime; too low a correction only lowers the sample.
	p.prefillRate.record(t.pendingBefore+float64(t.tokens), time.Duration(float64(took)/min(t.expectedSlowdown, t.slowdown)), p.idleTTFB.value)
}
