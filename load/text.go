package load

import (
	"math/rand/v2"
	"strings"

	"hawthornrill.example/hawthornrill/prefix"
)

var syllables = []string{"ba", "ce", "di", "fo", "gu", "la", "me", "ni", "po", "ru", "sa", "te", "vi", "zo"}

// randomText returns a random text of approximately the given number of tokens.
func randomText(random *rand.Rand, tokens int) string {
	var b strings.Builder
	size := tokens * prefix.BytesPerToken
	for b.Len() < size {
		for range 2 + random.IntN(2) {
			b.WriteString(syllables[random.IntN(len(syllables))])
		}
		b.WriteByte(' ')
	}
	return b.String()[:size]
}
