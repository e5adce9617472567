package enginesim

import (
	"encoding/json"
	"hash/fnv"
	"strconv"

	"github.com/crocusspread/crocusspread/core/domain"
)

const terminalEvent = "data: [DONE]\n\n"

// completionRequest holds the fields of a chat completion request that the
// simulated engine uses.
type completionRequest struct {
	Model               string    `json:"model"`
	Messages            []message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           int       `json:"max_tokens"`
	MaxCompletionTokens int       `json:"max_completion_tokens"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (r *completionRequest) prompt() []byte {
	var p []byte
	for _, m := range r.Messages {
		p = append(p, m.Role...)
		p = append(p, '\n')
		p = append(p, m.Content...)
		p = append(p, '\n')
	}
	return p
}

func (r *completionRequest) tokens(defaultTokens int) int {
	if n := max(r.MaxTokens, r.MaxCompletionTokens); n > 0 {
		return n
	}
	return defaultTokens
}

// transcript is the output of one generation. It is a deterministic function of
// the request ID and prompt.
type transcript struct {
	seed           uint64
	tokens         int
	prefix, suffix []byte // JSON around the text of a token event
	final          []byte // event with the finish reason
}

func newTranscript(id domain.RequestID, r *completionRequest, tokens int) *transcript {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write(r.prompt())
	head := `data: {"id":` + quote("chatcmpl-"+string(id)) + `,"object":"chat.completion.chunk","created":0,"model":` +
		quote(r.Model) + `,"choices":[{"index":0,"delta":`
	return &transcript{
		seed:   h.Sum64(),
		tokens: tokens,
		prefix: []byte(head + `{"content":"`),
		suffix: []byte(`"},"finish_reason":null}]}` + "\n\n"),
		final:  []byte(head + `{},"finish_reason":"stop"}]}` + "\n\n"),
	}
}

func quote(s string) string {
	b, _ := json.Marshal(s) // a string can always be encoded
	return string(b)
}

// events returns the number of events, not counting the terminal event.
func (t *transcript) events() uint64 { return uint64(t.tokens) + 1 }

// appendEvent appends the event with the zero-based index i to p.
func (t *transcript) appendEvent(p []byte, i uint64) []byte {
	if i >= uint64(t.tokens) {
		return append(p, t.final...)
	}
	p = append(p, t.prefix...)
	p = t.appendToken(p, i)
	return append(p, t.suffix...)
}

func (t *transcript) appendToken(p []byte, i uint64) []byte {
	wordID := (t.seed + i) * 0x9e3779b97f4a7c15 >> 48
	p = append(p, ' ', 'w')
	return strconv.AppendUint(p, wordID, 16)
}

func (t *transcript) text() string {
	var p []byte
	for i := range uint64(t.tokens) {
		p = t.appendToken(p, i)
	}
	return string(p)
}

// ExpectedStream returns the bytes that the engine sends for a streaming request with
// the given ID and body, from the first event to the terminal one.
func (s *Sim) ExpectedStream(id domain.RequestID, body []byte) ([]byte, error) {
	var r completionRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	t := newTranscript(id, &r, r.tokens(s.cfg.DefaultTokens))
	var p []byte
	for i := range t.events() {
		p = t.appendEvent(p, i)
	}
	return append(p, terminalEvent...), nil
}
