package load

import (
	"time"

	"hawthornrill.example/hawthornrill/deployment"
)

// pryce returns the workload model of the pryce deployment: hints and answer checks
// during a hunt, and long recaps that teams request at the same time when they finish
// together.
func pryce(d *deployment.Deployment) Model {
	check := Kind{Name: "check", Share: 50, MeanQuestionTokens: 30, MeanAnswerTokens: 16, Sigma: 0.4, Timeout: 5 * time.Second}
	hint := Kind{Name: "hint", Share: 50, MeanQuestionTokens: 80, MeanAnswerTokens: 70, Sigma: 0.5, Timeout: 8 * time.Second}
	story := Kind{Name: "story", Share: 15, MeanQuestionTokens: 300, MeanAnswerTokens: 300, Sigma: 0.6, Timeout: 20 * time.Second}
	recap := Kind{Name: "recap", Share: 100, MeanQuestionTokens: 1500, MeanAnswerTokens: 1400, Sigma: 0.5, Timeout: 45 * time.Second}
	return Model{
		Deployment: d,
		Sources: []Source{
			{Organisation: "hints", Share: 35, SystemPromptTokens: 700, Kinds: []Kind{hint, check}, MeanTurns: 5, ThinkTime: 4 * time.Second},
			{Organisation: "answer-checks", Share: 30, SystemPromptTokens: 300, Kinds: []Kind{check}, MeanTurns: 4, ThinkTime: 3 * time.Second},
			{Organisation: "schools", Share: 15, SystemPromptTokens: 500, Kinds: []Kind{hint, check, story}, MeanTurns: 4, ThinkTime: 5 * time.Second},
			{Organisation: "companies", Share: 15, SystemPromptTokens: 500, Kinds: []Kind{hint, check, story}, MeanTurns: 4, ThinkTime: 5 * time.Second},
			{Organisation: "recaps", Share: 12, SystemPromptTokens: 900, Kinds: []Kind{recap}, MeanTurns: 1, ThinkTime: time.Second, GroupSize: 12},
		},
		Calls: []CallKind{
			{Name: "scoreboard", Method: "GET", Path: "/scoreboard", Share: 60, Timeout: 2 * time.Second},
			{Name: "unlock", Method: "POST", Path: "/unlocks", Body: `{"team":"%s","clue":"gate"}`, Share: 25, NonIdempotent: true, Timeout: 4 * time.Second},
			{Name: "score", Method: "POST", Path: "/scores", Body: `{"team":"%s","points":5}`, Share: 15, NonIdempotent: true, Timeout: 4 * time.Second},
		},
		CallsPerConversation: 3,
		BurstInterval:        10 * time.Second,
		BurstDuration:        2 * time.Second,
		BurstFactor:          3,
		RetryShare:           0.05,
		HangUpShare:          0.03,
	}
}
