package admission

import (
	"github.com/crocusspread/crocusspread/core/domain"
	"github.com/crocusspread/crocusspread/core/gateway"
)

// Class separates short requests from long ones.
type Class uint8

const (
	// Short is a generation with few prompt and output tokens, or a service call.
	Short Class = iota
	// Long is a generation with many output tokens or a long prompt.
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
