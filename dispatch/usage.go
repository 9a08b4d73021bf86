package dispatch

import "encoding/json"

// usageEvent is the token usage that engines report in the last event of a stream.
type usageEvent struct {
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// readUsage takes the token counts from the last event, if it has any. Only the last event is
// examined, to avoid parsing every event.
func (c *streamCopier) readUsage() {
	var event usageEvent
	if json.Unmarshal(c.lastEvent, &event) != nil || event.Usage == nil {
		return
	}
	c.usage.PromptTokens = event.Usage.PromptTokens
	c.usage.AnswerTokens = event.Usage.CompletionTokens
	c.usage.CachedTokens = event.Usage.Details.CachedTokens
}
