package load

import (
	"time"

	"hawthornrill.example/hawthornrill/deployment"
)

// cucine returns the workload model of the cucine deployment: drafting quotes,
// explaining line items and checking measurements. Bursts occur when showrooms open and
// when fitters arrive on site.
func cucine(d *deployment.Deployment) Model {
	check := Kind{Name: "check", Share: 50, MeanQuestionTokens: 40, MeanAnswerTokens: 24, Sigma: 0.5, Timeout: 6 * time.Second}
	item := Kind{Name: "item", Share: 35, MeanQuestionTokens: 120, MeanAnswerTokens: 110, Sigma: 0.6, Timeout: 10 * time.Second}
	quote := Kind{Name: "quote", Share: 15, MeanQuestionTokens: 700, MeanAnswerTokens: 800, Sigma: 0.7, Timeout: 30 * time.Second}
	draft := Kind{Name: "draft", Share: 15, MeanQuestionTokens: 900, MeanAnswerTokens: 900, Sigma: 0.7, Timeout: 40 * time.Second}
	salesKinds := []Kind{check, item, quote}
	return Model{
		Deployment: d,
		Sources: []Source{
			{Organisation: "showrooms", Share: 30, SystemPromptTokens: 600, Kinds: salesKinds, MeanTurns: 4, ThinkTime: 4 * time.Second},
			{Organisation: "fitters-west", Share: 25, SystemPromptTokens: 400, Kinds: salesKinds, MeanTurns: 3, ThinkTime: 5 * time.Second},
			{Organisation: "fitters-east", Share: 25, SystemPromptTokens: 400, Kinds: salesKinds, MeanTurns: 3, ThinkTime: 5 * time.Second},
			{Organisation: "drafts", Share: 15, SystemPromptTokens: 800, Kinds: []Kind{item, draft}, MeanTurns: 3, ThinkTime: 4 * time.Second},
			{Organisation: "training", Share: 5, SystemPromptTokens: 300, Kinds: []Kind{check, item}, MeanTurns: 3, ThinkTime: 4 * time.Second},
		},
		Calls: []CallKind{
			{Name: "catalogue", Method: "GET", Path: "/catalogue/worktop", Share: 60, Timeout: 2 * time.Second},
			{Name: "job", Method: "GET", Path: "/jobs", Share: 25, Timeout: 2 * time.Second},
			{Name: "priced", Method: "POST", Path: "/quotes", Body: "kitchen", Share: 15, NonIdempotent: true, Timeout: 5 * time.Second},
		},
		CallsPerConversation: 2,
		BurstInterval:        10 * time.Second,
		BurstDuration:        2 * time.Second,
		BurstFactor:          3,
		RetryShare:           0.05,
		HangUpShare:          0.03,
	}
}
