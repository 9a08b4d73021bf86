package routing

import (
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/prefix"
)

// prefixTokens returns the number of tokens in the request's first blocks.
func prefixTokens(ask *capacity.Request, blocks int) int {
	if ask.BlockTokens == nil {
		return min(blocks*prefix.BlockTokens, ask.PromptTokens)
	}
	tokens := 0
	for _, n := range ask.BlockTokens[:min(blocks, len(ask.BlockTokens))] {
		tokens += n
	}
	return min(tokens, ask.PromptTokens)
}
