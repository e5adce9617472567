package admission

import (
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/gateway"
)

// Class tells short from long work.
type Class uint8

const (
	// Short is a question or a call of a service.
	Short Class = iota
	// Long is a long generation, or one with a long prompt.
	Long
	classes
)

// String returns "short" or "long".
func (c Class) String() string {
	if c == Short {
		return "short"
	}
	return "long"
}

func (c *Config) classOf(req *gateway.AdmitRequest) Class {
	if req.Target.Kind == domain.TargetService {
		return Short
	}
	if req.OutputTokens <= c.ShortOutputTokens && req.PromptTokens <= c.ShortPromptTokens {
		return Short
	}
	return Long
}
