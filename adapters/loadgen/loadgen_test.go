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

func TestPlanIsTheSameForOneSeedAndKeepsRateAndShare(t *testing.T) {
	c := validConfig()
	a, b := plan(&c), plan(&c)
	long := 0
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("request %d differs: %v and %v", i, a[i], b[i])
		}
		if a[i].long {
			long++
		}
	}
	if n := len(a); n < 850 || n > 1150 {
		t.Errorf("%d requests for 100 a second over 10 s", n)
	}
	if share := float64(long) / float64(len(a)); share < 0.2 || share > 0.3 {
		t.Errorf("share of long jobs %.2f, want about 0.25", share)
	}
}

func TestConfigThatCannotRunIsRefused(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"no entry":      func(c *Config) { c.Entries = nil },
		"no rate":       func(c *Config) { c.Rate = 0 },
		"too many":      func(c *Config) { c.Rate = 1e9 },
		"share above 1": func(c *Config) { c.LongShare = 1.5 },
		"no output":     func(c *Config) { c.OutputTokens = 0 },
	} {
		c := validConfig()
		change(&c)
		if err := c.Validate(); !errors.Is(err, errkind.Of(errkind.BadRequest)) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

func TestStreamWithoutItsEndMarkerIsTruncated(t *testing.T) {
	var o outcome
	begun := time.Now()
	if kind := o.read(context.Background(), bytes.NewBufferString("data: {}\n\ndata: {}\n\n"), begun); kind != errkind.Truncated {
		t.Errorf("got %q", kind)
	}
	if kind := o.read(context.Background(), bytes.NewBufferString("data: {}\n\ndata: [DONE]\n\n"), begun); kind != "" {
		t.Errorf("a whole stream is %q", kind)
	}
}
