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

// outcome is the result of one request.
type outcome struct {
	kind       errkind.Kind // empty for a complete response
	ranIn      string
	firstToken time.Duration
	tokenGaps  []time.Duration
	total      time.Duration
}

// Run generates the load and returns its report. It ends early if ctx is done.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerEntry, DisableCompression: true}}
	defer client.CloseIdleConnections()
	requests := planRequests(&cfg)
	collector := newCollector(&cfg)
	start := time.Now()
	var wg sync.WaitGroup
	for _, r := range requests {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(start.Add(r.startOffset))):
		}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { collector.add(send(ctx, client, &cfg, r)) })
	}
	wg.Wait()
	return collector.report(time.Since(start)), nil
}

// maxIdleConnsPerEntry is the maximum number of idle connections kept to each entry
// node.
const maxIdleConnsPerEntry = 1024

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

func requestBody(cfg *Config, r request) []byte {
	size, tokens := cfg.PromptBytes, cfg.OutputTokens
	if r.long {
		size, tokens = size*cfg.LongFactor, tokens*cfg.LongFactor
	}
	prefix := fmt.Sprintf("prefix %d ", r.prefix)
	content := strings.Repeat(prefix, size/len(prefix)+1)[:max(size, 1)]
	encoded, _ := json.Marshal(chatRequest{
		Model: cfg.Model, Stream: true, MaxTokens: tokens, Messages: []chatMessage{{Role: "user", Content: content}},
	})
	return encoded
}

// send sends one request. Latencies are measured from the time of the call, which is
// the planned start time apart from scheduling delay.
func send(ctx context.Context, client *http.Client, cfg *Config, r request) outcome {
	ctx, cancel := context.WithTimeout(ctx, cfg.Timeout)
	defer cancel()
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.entry+"/v1/chat/completions", bytes.NewReader(requestBody(cfg, r)))
	if err != nil {
		return outcome{kind: errkind.BadRequest}
	}
	req.Header.Set("Authorization", "Bearer "+cfg.Key)
	if cfg.FirstTokenTimeout > 0 {
		req.Header.Set(callerapi.HeaderFirstTokenTimeout, cfg.FirstTokenTimeout.String())
	}
	resp, err := client.Do(req)
	if err != nil {
		return outcome{kind: transportErrorKind(ctx)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return outcome{kind: errorResponseKind(resp), total: time.Since(start)}
	}
	out := outcome{ranIn: resp.Header.Get(callerapi.HeaderRanIn)}
	out.kind = out.readStream(ctx, resp.Body, start)
	out.total = time.Since(start)
	return out
}

func transportErrorKind(ctx context.Context) errkind.Kind {
	if ctx.Err() != nil {
		return errkind.Timeout
	}
	return errkind.PeerLost
}

func errorResponseKind(resp *http.Response) errkind.Kind {
	if k := resp.Header.Get(callerapi.HeaderErrorKind); k != "" {
		return errkind.Kind(k)
	}
	return errkind.Internal
}

var (
	dataField     = []byte("data:")
	terminalEvent = []byte("data: [DONE]")
)

// readStream reads a stream and records the times of its events. A stream without
// the terminal event is truncated.
func (o *outcome) readStream(ctx context.Context, r io.Reader, start time.Time) errkind.Kind {
	lines := bufio.NewReader(r)
	previousEvent := time.Time{}
	for {
		line, err := lines.ReadSlice('\n')
		switch {
		case err != nil && ctx.Err() != nil:
			return errkind.Timeout
		case err != nil:
			return errkind.Truncated
		case bytes.HasPrefix(line, terminalEvent):
			return ""
		case !bytes.HasPrefix(line, dataField):
			continue
		}
		now := time.Now()
		if previousEvent.IsZero() {
			o.firstToken = now.Sub(start)
		} else {
			o.tokenGaps = append(o.tokenGaps, now.Sub(previousEvent))
		}
		previousEvent = now
	}
}
