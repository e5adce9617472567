package instances

import "time"

// backlog estimates the prompt tokens that were sent to an engine and are not yet
// prefilled. The estimate decreases at the engine's prefill rate. The first byte
// of an answer corrects it, because engines prefill prompts approximately in
// order of arrival.
type backlog struct {
	tokens    float64
	updatedAt time.Time
	// totalAdded is the number of tokens ever sent. It allows the tokens queued
	// behind a request to be computed when its answer begins.
	totalAdded float64
}

// estimate returns the pending tokens at now; rate is in tokens per millisecond.
func (b *backlog) estimate(now time.Time, rate float64) float64 {
	if age := now.Sub(b.updatedAt); age > 0 {
		b.tokens = max(0, b.tokens-rate*float64(age)/float64(time.Millisecond))
		b.updatedAt = now
	}
	return b.tokens
}

// add records a prompt of the given number of tokens and returns a mark for
// markPrefilled.
func (b *backlog) add(now time.Time, rate float64, tokens int) (mark float64) {
	b.estimate(now, rate)
	b.tokens += float64(tokens)
	b.totalAdded += float64(tokens)
	return b.totalAdded
}

// markPrefilled records that the prompt with the given mark, and therefore every prompt
// before it, has been prefilled.
func (b *backlog) markPrefilled(now time.Time, rate, mark float64) {
	b.tokens = min(b.estimate(now, rate), b.totalAdded-mark)
}
