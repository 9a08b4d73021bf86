package places

import "hawthornrill.example/hawthornrill/gossip"

// load is what is outstanding at an endpoint.
type load struct {
	requests      int
	prefillTokens int
	promptTokens  int
	answerTokens  int
	// tokenMicros is the sum of the times for a token in microseconds that so many nodes tell.
	tokenMicros int
	tellers     int
}

func loadOf(l gossip.Load) load {
	told := load{requests: l.Requests, prefillTokens: l.PrefillTokens, promptTokens: l.PromptTokens, answerTokens: l.AnswerTokens}
	if l.TokenMicros > 0 {
		told.tokenMicros, told.tellers = l.TokenMicros, 1
	}
	return told
}

func (l *load) add(o load) {
	l.requests += o.requests
	l.prefillTokens += o.prefillTokens
	l.promptTokens += o.promptTokens
	l.answerTokens += o.answerTokens
	l.tokenMicros += o.tokenMicros
	l.tellers += o.tellers
}

func (l *load) subtract(o load) {
	l.requests -= o.requests
	l.prefillTokens -= o.prefillTokens
	l.promptTokens -= o.promptTokens
	l.answerTokens -= o.answerTokens
	l.tokenMicros -= o.tokenMicros
	l.tellers -= o.tellers
}
