package places

import "hawthornrill.example/hawthornrill/gossip"

// load is the outstanding work at an endpoint.
type load struct {
	requests      int
	prefillTokens int
	promptTokens  int
	answerTokens  int
	// tokenMicros is the sum of the times per token in microseconds over the nodes that report one, reporters their
	// number.
	tokenMicros int
	reporters   int
}

func loadFromReport(l gossip.Load) load {
	converted := load{
		requests: l.Requests, prefillTokens: l.PrefillTokens, promptTokens: l.PromptTokens, answerTokens: l.AnswerTokens,
	}
	if l.TokenMicros > 0 {
		converted.tokenMicros, converted.reporters = l.TokenMicros, 1
	}
	return converted
}

func (l *load) add(o load) {
	l.requests += o.requests
	l.prefillTokens += o.prefillTokens
	l.promptTokens += o.promptTokens
	l.answerTokens += o.answerTokens
	l.tokenMicros += o.tokenMicros
	l.reporters += o.reporters
}

func (l *load) subtract(o load) {
	l.requests -= o.requests
	l.prefillTokens -= o.prefillTokens
	l.promptTokens -= o.promptTokens
	l.answerTokens -= o.answerTokens
	l.tokenMicros -= o.tokenMicros
	l.reporters -= o.reporters
}
