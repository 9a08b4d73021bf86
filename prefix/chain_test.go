package prefix_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"hawthornrill.example/hawthornrill/prefix"
)

type message struct{ role, content string }

func chain(model string, messages ...message) *prefix.Chain {
	c := prefix.NewChain(model)
	for _, m := range messages {
		c.Add(m.role, m.content)
	}
	return c
}

func TestSharedBlocks(t *testing.T) {
	long := strings.Repeat("a", 3*prefix.BlockBytes)
	base := chain("m", message{"user", long})
	tests := map[string]struct {
		other *prefix.Chain
		want  int
	}{
		"same":                   {chain("m", message{"user", long}), 3},
		"extended":               {chain("m", message{"user", long}, message{"assistant", long}), 3},
		"other model":            {chain("n", message{"user", long}), 0},
		"other role":             {chain("m", message{"system", long}), 0},
		"differs at start":       {chain("m", message{"user", "b" + long}), 0},
		"differs later":          {chain("m", message{"user", long[:300] + "b" + long[301:]}), 1},
		"message boundary moved": {chain("m", message{"user", "a"}, message{"user", long}), 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			shared := 0
			for i, hash := range base.Blocks() {
				if i < len(test.other.Blocks()) && test.other.Blocks()[i] == hash {
					shared++
				}
			}
			assert.Equal(t, shared, test.want)
		})
	}
}

func TestIncrementalHashesEqualWholeConversation(t *testing.T) {
	text := strings.Repeat("x", 1000)
	extended := chain("m", message{"user", text})
	before := extended.Blocks()
	extended.Add("assistant", text)
	whole := chain("m", message{"user", text}, message{"assistant", text})
	assert.DeepEqual(t, extended.Blocks(), whole.Blocks())
	assert.DeepEqual(t, before, whole.Blocks()[:len(before)])
	assert.Equal(t, extended.Sum(), whole.Sum())
	assert.Equal(t, extended.Tokens(), prefix.Tokens(2000+len("user")+len("assistant")+4))
}

func BenchmarkChain(b *testing.B) {
	text := strings.Repeat("x", 16_000)
	b.ReportAllocs()
	for b.Loop() {
		c := prefix.NewChain("m")
		c.Add("user", text)
	}
}
