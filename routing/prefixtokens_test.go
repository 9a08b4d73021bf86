package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/prefix"
)

func TestPrefixTokens(t *testing.T) {
	tests := []struct {
		name    string
		request capacity.Request
		blocks  int
		tokens  int
	}{
		{"default block length", capacity.Request{PromptTokens: 1000}, 2, 2 * prefix.BlockTokens},
		{"capped at the prompt", capacity.Request{PromptTokens: 10}, 2, 10},
		{"individual block lengths", capacity.Request{PromptTokens: 1000, BlockTokens: []int{60, 500, 300}}, 2, 560},
		{"all blocks", capacity.Request{PromptTokens: 1000, BlockTokens: []int{60, 500}}, 5, 560},
		{"no blocks", capacity.Request{PromptTokens: 1000, BlockTokens: []int{60, 500}}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, prefixTokens(&test.request, test.blocks), test.tokens)
		})
	}
}
