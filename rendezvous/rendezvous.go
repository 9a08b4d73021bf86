// Package rendezvous chooses among named items by rendezvous hashing: all nodes
// with the same items choose alike, and when an item comes or goes only the keys
// that it wins or had change hands.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Score ranks the named item for the key.
func Score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// First returns the index of the item that comes first for the key, or -1 if there
// are none. Equal scores are ordered by name.
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

// Order returns the items in the order in which they come for the key.
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
