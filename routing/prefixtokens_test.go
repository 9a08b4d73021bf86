package routing

import (
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/capacity"
	"hawthornrill.example/hawthornrill/prefix"
)

func TestPrefixTokens(t *testing.T) {
	tests := []struct {
		name   string
		ask    capacity.Request
		blocks int
		tokens int
	}{
		{"usual blocks", capacity.Request{PromptTokens: 1000}, 2, 2 * prefix.BlockTokens},
		{"no more than the prompt", capacity.Request{PromptTokens: 10}, 2, 10},
		{"blocks of their own length", capacity.Request{PromptTokens: 1000, BlockTokens: []int{60, 500, 300}}, 2, 560},
		{"all of them", capacity.Request{PromptTokens: 1000, BlockTokens: []int{60, 500}}, 5, 560},
		{"none", capacity.Request{PromptTokens: 1000, BlockTokens: []int{60, 500}}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, prefixTokens(&test.ask, test.blocks), test.tokens)
		})
	}
}
