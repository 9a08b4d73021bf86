package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func itself(s string) string { return s }

// TestOnlyTheGoneMoves takes an item away: keys that it did not win stay.
func TestOnlyTheGoneMoves(t *testing.T) {
	items := []string{"a", "b", "c", "d", "e"}
	counts := make(map[string]int)
	for i := range 1000 {
		key := fmt.Sprint("key", i)
		first := items[First(key, items, itself)]
		counts[first]++
		assert.Equal(t, Order(key, items, itself)[0], first)
		left := slices.DeleteFunc(slices.Clone(items), func(s string) bool { return s == "c" })
		if first != "c" {
			assert.Equal(t, left[First(key, left, itself)], first)
		}
	}
	for item, n := range counts {
		assert.Check(t, n > 150 && n < 250, "%s has %d of 1000 keys", item, n)
	}
	assert.Equal(t, First("key", nil, itself), -1)
}
