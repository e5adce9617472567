package enginesim

import (
	"encoding/json"
	"hash/fnv"
	"strconv"

	"github.com/crocusspread/crocusspread/core/domain"
)

const terminalEvent = "data: [DONE]\n\n"

// completionRequest is the part of a chat completion request that the
// stand-in reads.
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

func (r *completionRequest) tokens(otherwise int) int {
	if n := max(r.MaxTokens, r.MaxCompletionTokens); n > 0 {
		return n
	}
	return otherwise
}

// script is the text of one generation: a function of request id and prompt.
type script struct {
	seed           uint64
	tokens         int
	prefix, suffix []byte // of a token's event
	final          []byte // the event with the finish reason
}

func newScript(id domain.RequestID, r *completionRequest, tokens int) *script {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write(r.prompt())
	head := `data: {"id":` + quote("chatcmpl-"+string(id)) + `,"object":"chat.completion.chunk","created":0,"model":` +
		quote(r.Model) + `,"choices":[{"index":0,"delta":`
	return &script{
		seed:   h.Sum64(),
		tokens: tokens,
		prefix: []byte(head + `{"content":"`),
		suffix: []byte(`"},"finish_reason":null}]}` + "\n\n"),
		final:  []byte(head + `{},"finish_reason":"stop"}]}` + "\n\n"),
	}
}

func quote(s string) string {
	b, _ := json.Marshal(s) // a string always has a JSON form
	return string(b)
}

// events returns the number of events without the terminal one.
func (s *script) events() uint64 { return uint64(s.tokens) + 1 }

// appendEvent appends event i, counted from zero.
func (s *script) appendEvent(p []byte, i uint64) []byte {
	if i >= uint64(s.tokens) {
		return append(p, s.final...)
	}
	p = append(p, s.prefix...)
	p = s.appendToken(p, i)
	return append(p, s.suffix...)
}

func (s *script) appendToken(p []byte, i uint64) []byte {
	word := (s.seed + i) * 0x9e3779b97f4a7c15 >> 48
	p = append(p, ' ', 'w')
	return strconv.AppendUint(p, word, 16)
}

func (s *script) text() string {
	var p []byte
	for i := range uint64(s.tokens) {
		p = s.appendToken(p, i)
	}
	return string(p)
}

// Transcript returns the bytes that the engine sends for a streamed request
// with this id and body, from the first event to the terminal one.
func (s *Sim) Transcript(id domain.RequestID, body []byte) ([]byte, error) {
	var r completionRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	sc := newScript(id, &r, r.tokens(s.cfg.DefaultTokens))
	var p []byte
	for i := range sc.events() {
		p = sc.appendEvent(p, i)
	}
	return append(p, terminalEvent...), nil
}
