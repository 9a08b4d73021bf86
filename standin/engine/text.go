package engine

import (
	"strconv"
	"strings"
)

// Answer is the whole answer that an engine gives to a request. It depends on
// the body alone, so that a test knows what each caller must get.
type Answer struct {
	// Tokens are the pieces of text in order, each four characters long. The
	// first four are a hash of the request.
	Tokens []string
	// FinishReason is "length" if max_tokens cut the answer, else "stop".
	FinishReason string
}

// Text is the answer's whole text.
func (a Answer) Text() string { return strings.Join(a.Tokens, "") }

// ExpectedAnswer returns the answer to a body; its error wraps ErrBadRequest.
func ExpectedAnswer(body []byte) (Answer, error) {
	r, err := parseRequest(body)
	if err != nil {
		return Answer{}, err
	}
	return r.answer(r.chain().Sum()), nil
}

const (
	hashTokens = 4
	hexDigits  = 16
	// Answers without a given length have between shortest and shortest<<doublings
	// tokens, short ones being as frequent as long ones on a logarithmic scale.
	shortest  = 16
	doublings = 5
)

// answer makes up the answer to a prompt with the given hash.
func (r request) answer(sum uint64) Answer {
	state := sum ^ mix(r.Seed+uint64(len(r.Messages)))
	n, reason := r.answerLength(mix(state)), "stop"
	if r.MaxTokens > 0 && n >= r.MaxTokens {
		n, reason = r.MaxTokens, "length"
	}
	tokens := make([]string, n)
	hash := strconv.FormatUint(mix(state)|1<<63, 16)[:hexDigits]
	for i := range tokens {
		if i < hashTokens {
			tokens[i] = hash[4*i : 4*i+4]
			continue
		}
		state++
		tokens[i] = word(mix(state))
	}
	return Answer{Tokens: tokens, FinishReason: reason}
}

// answerLength is the number of tokens before max_tokens cuts.
func (r request) answerLength(random uint64) int {
	switch {
	case r.AnswerTokens > 0:
		return r.AnswerTokens
	case r.MaxTokens > 0:
		return r.MaxTokens
	}
	base := shortest << (random % doublings)
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

// mix is the finaliser of SplitMix64: a fixed scrambling of the bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
