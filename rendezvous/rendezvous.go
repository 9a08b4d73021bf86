// Package rendezvous selects among named items by rendezvous hashing: all nodes with the same items select alike, and
// adding or removing an item reassigns only the keys that it gains or held.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rank of the named item for the key. The highest score comes first.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// First returns the index of the item with the highest score for the key, or -1 if there are none. Ties are broken by
// name.
func First[T any](key string, items []T, name func(T) string) int {
	best, bestScore := -1, uint64(0)
	for i := range items {
		score := Score(key, name(items[i]))
		if best < 0 || score > bestScore || (score == bestScore && name(items[i]) < name(items[best])) {
			best, bestScore = i, score
		}
	}
	return best
}

// Order returns the items in descending order of their scores for the key. Ties are broken by name.
func Order[T any](key string, items []T, name func(T) string) []T {
	sorted := slices.Clone(items)
	slices.SortFunc(sorted, func(a, b T) int {
		return cmp.Or(
			cmp.Compare(Score(key, name(b)), Score(key, name(a))),
			cmp.Compare(name(a), name(b)),
		)
	})
	return sorted
}
