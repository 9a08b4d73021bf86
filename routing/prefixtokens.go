package routing

import (
	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/prefix"
)

// prefixTokens returns the number of tokens in the request's first blocks.
func prefixTokens(request *capacity.Request, blocks int) int {
	if request.BlockTokens == nil {
		return min(blocks*prefix.BlockTokens, request.PromptTokens)
	}
	tokens := 0
	for _, n := range request.BlockTokens[:min(blocks, len(request.BlockTokens))] {
		tokens += n
	}
	return min(tokens, request.PromptTokens)
}
