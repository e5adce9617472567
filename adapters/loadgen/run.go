package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/crocusspread/crocusspread/adapters/callerapi"
	"github.com/crocusspread/crocusspread/core/errkind"
)

// outcome is what became of one request.
type outcome struct {
	kind       errkind.Kind // empty for a whole answer
	ranIn      string
	firstToken time.Duration
	gaps       []time.Duration
	total      time.Duration
}

// Run drives the load and returns its report. It ends early if ctx does.
func Run(ctx context.Context, c Config) (*Report, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true}}
	defer client.CloseIdleConnections()
	requests := plan(&c)
	collector := newCollector(&c)
	begun := time.Now()
	var wg sync.WaitGroup
	for _, r := range requests {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(begun.Add(r.at))):
		}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { collector.add(ask(ctx, client, &c, r)) })
	}
	wg.Wait()
	return collector.report(time.Since(begun)), nil
}

// maxIdle is the number of connections kept to each entry.
const maxIdle = 1024

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

func body(c *Config, r request) []byte {
	size, tokens := c.PromptBytes, c.OutputTokens
	if r.long {
		size, tokens = size*c.LongFactor, tokens*c.LongFactor
	}
	start := fmt.Sprintf("prefix %d ", r.prefix)
	text := strings.Repeat(start, size/len(start)+1)[:max(size, 1)]
	encoded, _ := json.Marshal(chatRequest{
		Model: c.Model, Stream: true, MaxTokens: tokens, Messages: []chatMessage{{Role: "user", Content: text}},
	})
	return encoded
}

// ask makes one request. Latencies count from its call, which is its planned
// time but for the scheduler.
func ask(ctx context.Context, client *http.Client, c *Config, r request) outcome {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	begun := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.entry+"/v1/chat/completions", bytes.NewReader(body(c, r)))
	if err != nil {
		return outcome{kind: errkind.BadRequest}
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if c.FirstToken > 0 {
		req.Header.Set(callerapi.HeaderFirstTokenTimeout, c.FirstToken.String())
	}
	resp, err := client.Do(req)
	if err != nil {
		return outcome{kind: callerKind(ctx)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return outcome{kind: refusalKind(resp), total: time.Since(begun)}
	}
	out := outcome{ranIn: resp.Header.Get(callerapi.HeaderRanIn)}
	out.kind = out.read(ctx, resp.Body, begun)
	out.total = time.Since(begun)
	return out
}

func callerKind(ctx context.Context) errkind.Kind {
	if ctx.Err() != nil {
		return errkind.Timeout
	}
	return errkind.PeerLost
}

func refusalKind(resp *http.Response) errkind.Kind {
	if k := resp.Header.Get(callerapi.HeaderErrorKind); k != "" {
		return errkind.Kind(k)
	}
	return errkind.Internal
}

var (
	dataField = []byte("data:")
	endMarker = []byte("data: [DONE]")
)

// read takes the times of a stream's events. Only the end marker makes it whole.
func (o *outcome) read(ctx context.Context, r io.Reader, begun time.Time) errkind.Kind {
	lines := bufio.NewReader(r)
	last := time.Time{}
	for {
		line, err := lines.ReadSlice('\n')
		switch {
		case err != nil && ctx.Err() != nil:
			return errkind.Timeout
		case err != nil:
			return errkind.Truncated
		case bytes.HasPrefix(line, endMarker):
			return ""
		case !bytes.HasPrefix(line, dataField):
			continue
		}
		now := time.Now()
		if last.IsZero() {
			o.firstToken = now.Sub(begun)
		} else {
			o.gaps = append(o.gaps, now.Sub(last))
		}
		last = now
	}
}
