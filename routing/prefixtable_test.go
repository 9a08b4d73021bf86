package routing

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestPrefixTable(t *testing.T) {
	blocks := []uint64{1, 2, 3, 4, 5, 6}
	lag := 3 * time.Second
	evict := func(p *PrefixTable, ago time.Duration) {
		for _, block := range []uint64{6, 5, 4} {
			p.Evicted(t0.Add(ago), block, lag)
		}
	}
	for name, tt := range map[string]struct {
		change func(p *PrefixTable)
		want   int
	}{
		"dispatched":                      {func(*PrefixTable) {}, 6},
		"evicted after the lag":           {func(p *PrefixTable) { evict(p, time.Minute) }, 3},
		"evicted within the lag":          {func(p *PrefixTable) { evict(p, time.Second) }, 6},
		"evicted and stored again":        {func(p *PrefixTable) { evict(p, time.Minute); p.Stored(4) }, 4},
		"lower bound evicts the end":      {func(p *PrefixTable) { p.SetBound(2) }, 2},
		"other blocks evict the end":      {func(p *PrefixTable) { p.Dispatched(t0, []uint64{11, 12, 13, 14, 15, 16}) }, 4},
		"stored event keeps the position": {func(p *PrefixTable) { p.Stored(6); p.Dispatched(t0, []uint64{11, 12, 13, 14, 15}) }, 5},
		"cleared":                         {func(p *PrefixTable) { p.Clear() }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPrefixTable(10, t0.Add(-time.Hour))
			p.Dispatched(t0, blocks)
			tt.change(p)
			for guess := range 8 {
				assert.Equal(t, p.Depth(blocks, guess), tt.want)
			}
		})
	}
}

// TestPrefixTableMatchesReferenceLRU compares the table with a slice-based LRU implementation.
func TestPrefixTableMatchesReferenceLRU(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 200).Draw(t, "bound")
		table := NewPrefixTable(bound, t0)
		var list []uint64
		for range rapid.IntRange(0, 600).Draw(t, "steps") {
			// Hashes with equal lower bits share a home slot in the index.
			block := rapid.Uint64Range(0, 300).Draw(t, "block")<<32 | 7
			at := slices.Index(list, block)
			if at >= 0 {
				list = slices.Delete(list, at, at+1)
			}
			if rapid.IntRange(0, 3).Draw(t, "action") == 0 {
				table.Evicted(t0.Add(time.Hour), block, time.Second)
				continue
			}
			list = append(list, block)
			if len(list) > bound {
				list = list[1:]
			}
			table.Dispatched(t0, []uint64{block})
		}
		assert.Equal(t, table.Len(), len(list))
		for block := range uint64(301) {
			key := block<<32 | 7
			assert.Equal(t, table.contains(key), slices.Contains(list, key))
		}
	})
}
