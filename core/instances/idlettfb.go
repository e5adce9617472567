package instances

import (
	"time"
)

const (
	// maxIdleSampleTokens is the largest prefill of an answer that shows the time to first
	// byte without prefill: a few milliseconds of it.
	maxIdleSampleTokens = 500
	// idleSamples is the number of latest samples that are retained, minIdleSamples the
	// number from which they replace the assumed time.
	idleSamples    = 64
	minIdleSamples = 16
	// idleQuantile is the quantile of the samples that is the estimate. Requests that wait
	// at an engine unnoticed only make answers later.
	idleQuantile = 0.25
	// maxIdleTTFB bounds the estimate, so that a pool that is overloaded from its start on
	// still counts as one that can answer.
	maxIdleTTFB = 250 * time.Millisecond
)

// idleTTFB estimates the time to first byte at an engine without a wait and without
// prefill. It is defaultIdleTTFB or, at engines of slower models, more.
type idleTTFB struct {
	value   time.Duration
	samples latestSamples[time.Duration]
}

func (e *idleTTFB) record(took time.Duration) {
	e.samples.add(took, idleSamples)
	if len(e.samples.values) >= minIdleSamples {
		e.value = min(maxIdleTTFB, max(defaultIdleTTFB, e.samples.quantile(idleQuantile)))
	}
}

// measureIdleTTFB updates the estimate after the first byte of an answer. Samples are short
// prompts at engines that were expected to have a free slot and no backlog.
func (p *Pool) measureIdleTTFB(t *Ticket, took time.Duration) {
	if p.config.Engine == nil || t.answerStarted || t.queued || t.Cold || t.tokens > maxIdleSampleTokens || t.pendingBefore > maxIdleSampleTokens {
		return
	}
	p.idleTTFB.record(time.Duration(float64(took) / max(t.expectedSlowdown, t.slowdown)))
}
