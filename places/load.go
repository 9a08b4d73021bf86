package places

import "hawthornrill.example/hawthornrill/gossip"

// load is what is outstanding at an endpoint.
type load struct {
	requests      int
	prefillTokens int
	promptTokens  int
	answerTokens  int
}

func loadOf(l gossip.Load) load {
	return load{requests: l.Requests, prefillTokens: l.PrefillTokens, promptTokens: l.PromptTokens, answerTokens: l.AnswerTokens}
}

func (l *load) add(o load) {
	l.requests += o.requests
	l.prefillTokens += o.prefillTokens
	l.promptTokens += o.promptTokens
	l.answerTokens += o.answerTokens
}

func (l *load) subtract(o load) {
	l.requests -= o.requests
	l.prefillTokens -= o.prefillTokens
	l.promptTokens -= o.promptTokens
	l.answerTokens -= o.answerTokens
}
