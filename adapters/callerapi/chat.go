package callerapi

import (
	"crypto/rand"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/errkind"
	"github.com/crocusspread/crocusspread/core/gateway"
)

const (
	// bytesPerToken is the assumed token size for estimating a prompt's tokens.
	bytesPerToken = 4
	// prefixBytes is the number of bytes at the start of a prompt that identify its
	// cache entry.
	prefixBytes         = 1024
	defaultOutputTokens = 256
)

func newRequestID() domain.RequestID { return domain.RequestID("r-" + rand.Text()) }

// chatRequest holds the fields of a chat completion request that the node reads; the
// engine receives the caller's JSON unchanged.
type chatRequest struct {
	Model               string        `json:"model"`
	Stream              bool          `json:"stream"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func parseChat(body []byte, req *gateway.Request) error {
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return errkind.New(errkind.BadRequest, "the body is not a chat completion request: %w", err)
	}
	if chat.Model == "" {
		return errkind.New(errkind.BadRequest, "model is missing")
	}
	if len(chat.Messages) == 0 {
		return errkind.New(errkind.BadRequest, "messages is empty")
	}
	if chat.MaxTokens < 0 || chat.MaxCompletionTokens < 0 {
		return errkind.New(errkind.BadRequest, "max_tokens is negative")
	}
	req.Target = domain.Target{Kind: domain.TargetModel, Name: chat.Model}
	req.Payload, req.Stream = body, chat.Stream
	req.OutputTokens = max(chat.MaxTokens, chat.MaxCompletionTokens)
	if req.OutputTokens == 0 {
		req.OutputTokens = defaultOutputTokens
	}
	req.PromptTokens, req.Prefix = measurePrompt(chat)
	return nil
}

// measurePrompt estimates the prompt's tokens and hashes its start together with the
// model.
func measurePrompt(chat chatRequest) (tokens int, prefix uint64) {
	digest := xxhash.New()
	_, _ = digest.WriteString(chat.Model)
	size, hashed := 0, 0
	for _, m := range chat.Messages {
		size += len(m.Content)
		part := m.Content[:min(len(m.Content), prefixBytes-hashed)]
		_, _ = digest.Write(part)
		hashed += len(part)
	}
	return size/bytesPerToken + 1, digest.Sum64()
}
