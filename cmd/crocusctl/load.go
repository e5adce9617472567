package main

import (
	"context"
	"time"

	"github.com/crocusspread/crocusspread/adapters/loadgen"
	"github.com/crocusspread/crocusspread/adapters/operatorcli"
)

func init() {
	register(command{
		name:      "load",
		short:     "Generate open-loop load on nodes and report latencies",
		long:      "Starts streamed generations at random times with a fixed mean rate, without waiting for earlier ones to finish.",
		newRunner: func() runner { return &loadCommand{} },
	})
}

// loadCommand holds the options of the load command.
type loadCommand struct {
	Entries      []string      `long:"entry" required:"true" value-name:"URL" description:"Base URL of a node for callers; may be repeated"`
	Key          string        `long:"key" env:"CROCUSSPREAD_KEY" required:"true" description:"Bearer key"`
	Model        string        `long:"model" required:"true" description:"Model to ask for"`
	Rate         float64       `long:"rate" default:"10" description:"Requests started a second"`
	Duration     time.Duration `long:"duration" default:"10s" description:"How long requests are started"`
	PromptBytes  int           `long:"prompt-bytes" default:"400" description:"Prompt of a short question, in bytes"`
	OutputTokens int           `long:"output-tokens" default:"32" description:"Answer to a short question, in tokens"`
	LongShare    float64       `long:"long-share" default:"0.1" description:"Share of long jobs, 0 to 1"`
	LongFactor   int           `long:"long-factor" default:"10" description:"Size of a long job over that of a short question"`
	Prefixes     int           `long:"prefixes" default:"50" description:"Number of prompt beginnings that requests share"`
	FirstToken   time.Duration `long:"first-token" default:"400ms" description:"Time within which the first token is due"`
	Timeout      time.Duration `long:"timeout" default:"1m" description:"Longest time of one request"`
	Seed         uint64        `long:"seed" default:"1" description:"Seed of the load"`
}

func (c *loadCommand) run(ctx context.Context, _ operatorcli.Output) (operatorcli.Result, error) {
	return operatorcli.AsResult(loadgen.Run(ctx, loadgen.Config{
		Entries: c.Entries, Key: c.Key, Model: c.Model, Rate: c.Rate, Duration: c.Duration, PromptBytes: c.PromptBytes,
		OutputTokens: c.OutputTokens, LongShare: c.LongShare, LongFactor: c.LongFactor, Prefixes: c.Prefixes,
		FirstTokenTimeout: c.FirstToken, Timeout: c.Timeout, Seed: c.Seed,
	}))
}
