package dispatch

import "encoding/json"

// usage is what engines report with the last event of a stream.
type usage struct {
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// readUsage takes the token counts from the last event, if it has any. Only the
// last event is looked at, so that no other costs a parse.
func (c *engineCopy) readUsage() {
	var u usage
	if json.Unmarshal(c.last, &u) != nil || u.Usage == nil {
		return
	}
	c.use.PromptTokens = u.Usage.PromptTokens
	c.use.AnswerTokens = u.Usage.CompletionTokens
	c.use.CachedTokens = u.Usage.Details.CachedTokens
}
