package loadgen

import (
	"math/rand/v2"
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
)

// Config describes a load.
type Config struct {
	// Entries are the base URLs of nodes; requests take them in turn.
	Entries []string `json:"entries"`
	// Key is the bearer key.
	Key string `json:"-"`
	// Model is what generations ask for.
	Model string `json:"model"`
	// Rate is the mean number of requests started a second.
	Rate float64 `json:"rate_per_second"`
	// Duration is how long requests are started.
	Duration time.Duration `json:"duration_ns"`
	// PromptBytes and OutputTokens are the sizes of a short question.
	PromptBytes  int `json:"prompt_bytes"`
	OutputTokens int `json:"output_tokens"`
	// LongShare of the requests are long jobs, LongFactor times as large.
	LongShare  float64 `json:"long_share"`
	LongFactor int     `json:"long_factor"`
	// Prefixes is the number of prompt beginnings that requests share.
	Prefixes int `json:"prefixes"`
	// FirstToken is the time within which the first token is due; callers state it,
	// unless it is zero.
	FirstToken time.Duration `json:"first_token_ns"`
	// Timeout bounds each request.
	Timeout time.Duration `json:"timeout_ns"`
	// Seed makes the load the same each time.
	Seed uint64 `json:"seed"`
}

// maxRequests bounds one load.
const maxRequests = 1_000_000

// Validate returns an error of kind bad_request for a load that cannot be run.
func (c *Config) Validate() error {
	switch {
	case len(c.Entries) == 0:
		return errkind.New(errkind.BadRequest, "no entry is given")
	case c.Rate <= 0 || c.Duration <= 0 || c.Rate*c.Duration.Seconds() > maxRequests:
		return errkind.New(errkind.BadRequest, "rate and duration must be positive and give at most %d requests", maxRequests)
	case c.LongShare < 0 || c.LongShare > 1 || c.LongFactor < 1 || c.Prefixes < 1:
		return errkind.New(errkind.BadRequest, "the share of long jobs must be within 0 to 1, their factor and the prefixes at least 1")
	case c.PromptBytes < 0 || c.OutputTokens < 1 || c.Timeout <= 0:
		return errkind.New(errkind.BadRequest, "prompt, output and time-out must be positive")
	}
	return nil
}

// request is one planned request.
type request struct {
	at     time.Duration
	entry  string
	prefix int
	long   bool
}

// plan draws the requests of a load: exponential gaps, so arrivals are a Poisson
// process.
func plan(c *Config) []request {
	rng := rand.New(rand.NewPCG(c.Seed, c.Seed))
	var out []request
	at := time.Duration(0)
	for i := 0; ; i++ {
		at += time.Duration(rng.ExpFloat64() / c.Rate * float64(time.Second))
		if at >= c.Duration {
			return out
		}
		out = append(out, request{
			at: at, entry: c.Entries[i%len(c.Entries)], prefix: rng.IntN(c.Prefixes), long: rng.Float64() < c.LongShare,
		})
	}
}
