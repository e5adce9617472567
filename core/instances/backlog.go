package instances

import "time"

// backlog estimates the prompt tokens that an engine was sent and has not read.
// It drains at the engine's speed; answers that begin correct it, as engines read
// prompts about in the order of their arrival.
type backlog struct {
	tokens float64
	at     time.Time
	// added counts all tokens ever sent, so that those behind a request are
	// known when its answer begins.
	added float64
}

// now returns the estimate after draining at rate tokens per millisecond.
func (b *backlog) now(now time.Time, rate float64) float64 {
	if age := now.Sub(b.at); age > 0 {
		b.tokens = max(0, b.tokens-rate*float64(age)/float64(time.Millisecond))
		b.at = now
	}
	return b.tokens
}

// add notes a prompt and returns a mark for read.
func (b *backlog) add(now time.Time, rate float64, tokens int) (mark float64) {
	b.now(now, rate)
	b.tokens += float64(tokens)
	b.added += float64(tokens)
	return b.added
}

// read notes that the prompt with that mark is read, and so all before it.
func (b *backlog) read(now time.Time, rate, mark float64) {
	b.tokens = min(b.now(now, rate), b.added-mark)
}
