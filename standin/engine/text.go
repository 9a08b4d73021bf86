package engine

import (
	"strconv"
	"strings"
)

// Answer is the complete answer to a request. It depends on the request body
// alone, so that a test can compute what each caller must receive.
type Answer struct {
	// Tokens are the pieces of text in order, each four characters long. The first
	// four tokens are a hash of the request.
	Tokens []string
	// FinishReason is "length" if max_tokens truncated the answer, else "stop".
	FinishReason string
}

// Text returns the tokens joined into one string.
func (a Answer) Text() string { return strings.Join(a.Tokens, "") }

// ExpectedAnswer returns the answer to a request body. Its error wraps
// ErrBadRequest.
func ExpectedAnswer(body []byte) (Answer, error) {
	r, err := parseRequest(body)
	if err != nil {
		return Answer{}, err
	}
	return r.answer(r.chain().Sum()), nil
}

const (
	hashTokenCount = 4
	hexDigits      = 16
	// Answers without a requested length have at least minAnswerTokens and fewer
	// than minAnswerTokens<<lengthDoublings tokens, evenly distributed on a
	// logarithmic scale.
	minAnswerTokens = 16
	lengthDoublings = 5
)

// answer generates the answer to a prompt with the given hash.
func (r request) answer(sum uint64) Answer {
	state := sum ^ mix(r.Seed+uint64(len(r.Messages)))
	n, reason := r.answerLength(mix(state)), "stop"
	if r.MaxTokens > 0 && n >= r.MaxTokens {
		n, reason = r.MaxTokens, "length"
	}
	tokens := make([]string, n)
	hash := strconv.FormatUint(mix(state)|1<<63, 16)[:hexDigits]
	for i := range tokens {
		if i < hashTokenCount {
			tokens[i] = hash[4*i : 4*i+4]
			continue
		}
		state++
		tokens[i] = word(mix(state))
	}
	return Answer{Tokens: tokens, FinishReason: reason}
}

// answerLength returns the number of tokens before max_tokens is applied.
func (r request) answerLength(random uint64) int {
	switch {
	case r.AnswerTokens > 0:
		return r.AnswerTokens
	case r.MaxTokens > 0:
		return r.MaxTokens
	}
	base := minAnswerTokens << (random % lengthDoublings)
	return base + int(random>>8)%base
}

const (
	consonants = "bdfgklmnprstvz"
	vowels     = "aeiou"
)

var words = makeWords()

func makeWords() []string {
	var all []string
	for _, a := range consonants {
		for _, b := range vowels {
			for _, c := range consonants {
				all = append(all, " "+string([]rune{a, b, c}))
			}
		}
	}
	return all
}

func word(random uint64) string { return words[random%uint64(len(words))] }

// mix is one step of SplitMix64 (increment and finaliser), used as a hash.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
