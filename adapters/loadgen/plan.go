package loadgen

import (
	"math/rand/v2"
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
)

// Config configures a load.
type Config struct {
	// Entries are the base URLs of entry nodes, used round-robin.
	Entries []string `json:"entries"`
	// Key is the bearer key of the requests.
	Key string `json:"-"`
	// Model is the requested model.
	Model string `json:"model"`
	// Rate is the mean number of requests started per second.
	Rate float64 `json:"rate_per_second"`
	// Duration is the period in which requests are started.
	Duration time.Duration `json:"duration_ns"`
	// PromptBytes and OutputTokens are the prompt size and output length of a short
	// request.
	PromptBytes  int `json:"prompt_bytes"`
	OutputTokens int `json:"output_tokens"`
	// LongShare is the fraction of requests, from 0 to 1, that are long. Their prompt
	// size and output length are multiplied by LongFactor.
	LongShare  float64 `json:"long_share"`
	LongFactor int     `json:"long_factor"`
	// Prefixes is the number of distinct prompt prefixes shared by the requests.
	Prefixes int `json:"prefixes"`
	// FirstTokenTimeout is the deadline for the first token. It is sent with each request
	// unless it is zero.
	FirstTokenTimeout time.Duration `json:"first_token_ns"`
	// Timeout is the time limit of each request.
	Timeout time.Duration `json:"timeout_ns"`
	// Seed is the seed of the random generator. Equal seeds give equal loads.
	Seed uint64 `json:"seed"`
}

// maxRequests is the maximum number of requests of one load.
const maxRequests = 1_000_000

// Validate returns an error of kind bad_request if the configuration is invalid.
func (cfg *Config) Validate() error {
	switch {
	case len(cfg.Entries) == 0:
		return errkind.New(errkind.BadRequest, "at least one entry is required")
	case cfg.Rate <= 0 || cfg.Duration <= 0 || cfg.Rate*cfg.Duration.Seconds() > maxRequests:
		return errkind.New(errkind.BadRequest, "rate and duration must be positive and their product at most %d requests", maxRequests)
	case cfg.LongShare < 0 || cfg.LongShare > 1 || cfg.LongFactor < 1 || cfg.Prefixes < 1:
		return errkind.New(errkind.BadRequest, "share of long requests must be between 0 and 1, long factor and number of prefixes at least 1")
	case cfg.PromptBytes < 0 || cfg.OutputTokens < 1 || cfg.Timeout <= 0:
		return errkind.New(errkind.BadRequest, "output tokens and timeout must be positive and prompt bytes not negative")
	}
	return nil
}

// request is one planned request.
type request struct {
	startOffset time.Duration
	entry       string
	prefix      int
	long        bool
}

// planRequests draws the requests of a load. The gaps between requests are
// exponentially distributed, so arrivals are a Poisson process.
func planRequests(cfg *Config) []request {
	rng := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	var out []request
	startOffset := time.Duration(0)
	for i := 0; ; i++ {
		startOffset += time.Duration(rng.ExpFloat64() / cfg.Rate * float64(time.Second))
		if startOffset >= cfg.Duration {
			return out
		}
		out = append(out, request{
			startOffset: startOffset, entry: cfg.Entries[i%len(cfg.Entries)], prefix: rng.IntN(cfg.Prefixes), long: rng.Float64() < cfg.LongShare,
		})
	}
}
