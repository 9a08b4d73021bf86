package load

import (
	"time"

	"hawthornrill.example/hawthornrill/deployment"
)

// pryce answers hints and checks mid-hunt; teams that finish together ask for
// long recaps at once.
func pryce(d *deployment.Deployment) Model {
	check := Kind{Name: "check", Share: 50, Question: 30, Answer: 16, Spread: 0.4, Patience: 5 * time.Second}
	hint := Kind{Name: "hint", Share: 50, Question: 80, Answer: 70, Spread: 0.5, Patience: 8 * time.Second}
	story := Kind{Name: "story", Share: 15, Question: 300, Answer: 300, Spread: 0.6, Patience: 20 * time.Second}
	recap := Kind{Name: "recap", Share: 100, Question: 1500, Answer: 1400, Spread: 0.5, Patience: 45 * time.Second}
	return Model{
		Deployment: d,
		Sources: []Source{
			{Organisation: "hints", Share: 35, Guide: 700, Kinds: []Kind{hint, check}, Turns: 5, Think: 4 * time.Second},
			{Organisation: "answer-checks", Share: 30, Guide: 300, Kinds: []Kind{check}, Turns: 4, Think: 3 * time.Second},
			{Organisation: "schools", Share: 15, Guide: 500, Kinds: []Kind{hint, check, story}, Turns: 4, Think: 5 * time.Second},
			{Organisation: "companies", Share: 15, Guide: 500, Kinds: []Kind{hint, check, story}, Turns: 4, Think: 5 * time.Second},
			{Organisation: "recaps", Share: 12, Guide: 900, Kinds: []Kind{recap}, Turns: 1, Think: time.Second, Together: 12},
		},
		Calls: []CallKind{
			{Name: "scoreboard", Method: "GET", Path: "/scoreboard", Share: 60, Patience: 2 * time.Second},
			{Name: "unlock", Method: "POST", Path: "/unlocks", Body: `{"team":"%s","clue":"gate"}`, Share: 25, Once: true, Patience: 4 * time.Second},
			{Name: "score", Method: "POST", Path: "/scores", Body: `{"team":"%s","points":5}`, Share: 15, Once: true, Patience: 4 * time.Second},
		},
		PerConversation: 3,
		BurstEvery:      10 * time.Second,
		BurstFor:        2 * time.Second,
		BurstFactor:     3,
		Retry:           0.05,
		HangUp:          0.03,
	}
}
