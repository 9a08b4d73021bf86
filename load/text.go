package load

import (
	"math/rand/v2"
	"strings"

	"hawthornrill.example/hawthornrill/prefix"
)

var syllables = []string{"ba", "ce", "di", "fo", "gu", "la", "me", "ni", "po", "ru", "sa", "te", "vi", "zo"}

// text makes up a text of about so many tokens.
func text(random *rand.Rand, tokens int) string {
	var b strings.Builder
	characters := tokens * prefix.BytesPerToken
	for b.Len() < characters {
		for range 2 + random.IntN(2) {
			b.WriteString(syllables[random.IntN(len(syllables))])
		}
		b.WriteByte(' ')
	}
	return b.String()[:characters]
}
