package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func identity(s string) string { return s }

// Removing an item must not reassign the keys of the other items.
func TestRemovingItemMovesOnlyItsKeys(t *testing.T) {
	items := []string{"a", "b", "c", "d", "e"}
	counts := make(map[string]int)
	for i := range 1000 {
		key := fmt.Sprint("key", i)
		first := items[First(key, items, identity)]
		counts[first]++
		assert.Equal(t, Order(key, items, identity)[0], first)
		remaining := slices.DeleteFunc(slices.Clone(items), func(s string) bool { return s == "c" })
		if first != "c" {
			assert.Equal(t, remaining[First(key, remaining, identity)], first)
		}
	}
	for item, n := range counts {
		assert.Check(t, n > 150 && n < 250, "item %s has %d of 1000 keys", item, n)
	}
	assert.Equal(t, First("key", nil, identity), -1)
}
