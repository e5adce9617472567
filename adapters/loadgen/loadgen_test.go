package loadgen

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/crocusspread/crocusspread/core/errkind"
)

func validConfig() Config {
	return Config{
		Entries: []string{"http://127.0.0.1:1"}, Rate: 100, Duration: 10 * time.Second, OutputTokens: 1, LongFactor: 1, Prefixes: 1,
		Timeout: time.Second, Seed: 7, LongShare: 0.25,
	}
}

func TestPlanIsDeterministicAndMatchesRateAndLongShare(t *testing.T) {
	cfg := validConfig()
	a, b := planRequests(&cfg), planRequests(&cfg)
	long := 0
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("request %d differs between two plans with the same seed: %v and %v", i, a[i], b[i])
		}
		if a[i].long {
			long++
		}
	}
	if n := len(a); n < 850 || n > 1150 {
		t.Errorf("got %d requests for a rate of 100/s over 10 s, want 850 to 1150", n)
	}
	if share := float64(long) / float64(len(a)); share < 0.2 || share > 0.3 {
		t.Errorf("got share of long requests %.2f, want 0.20 to 0.30", share)
	}
}

func TestValidateRejectsInvalidConfig(t *testing.T) {
	for name, modify := range map[string]func(*Config){
		"no entry":      func(cfg *Config) { cfg.Entries = nil },
		"no rate":       func(cfg *Config) { cfg.Rate = 0 },
		"too many":      func(cfg *Config) { cfg.Rate = 1e9 },
		"share above 1": func(cfg *Config) { cfg.LongShare = 1.5 },
		"no output":     func(cfg *Config) { cfg.OutputTokens = 0 },
	} {
		cfg := validConfig()
		modify(&cfg)
		if err := cfg.Validate(); !errors.Is(err, errkind.Of(errkind.BadRequest)) {
			t.Errorf("%s: got error %v, want kind bad_request", name, err)
		}
	}
}

func TestStreamWithoutItsEndMarkerIsTruncated(t *testing.T) {
	var o outcome
	start := time.Now()
	if kind := o.readStream(context.Background(), bytes.NewBufferString("data: {}\n\ndata: {}\n\n"), start); kind != errkind.Truncated {
		t.Errorf("stream without terminal event: got kind %q, want truncated", kind)
	}
	if kind := o.readStream(context.Background(), bytes.NewBufferString("data: {}\n\ndata: [DONE]\n\n"), start); kind != "" {
		t.Errorf("complete stream: got kind %q, want none", kind)
	}
}
