package load

import (
	"time"

	"hawthornrill.example/hawthornrill/deployment"
)

// cucine drafts quotes, explains line items and checks measurements; bursts are
// showrooms that open and fitters who arrive.
func cucine(d *deployment.Deployment) Model {
	check := Kind{Name: "check", Share: 50, Question: 40, Answer: 24, Spread: 0.5, Patience: 6 * time.Second}
	item := Kind{Name: "item", Share: 35, Question: 120, Answer: 110, Spread: 0.6, Patience: 10 * time.Second}
	quote := Kind{Name: "quote", Share: 15, Question: 700, Answer: 800, Spread: 0.7, Patience: 30 * time.Second}
	draft := Kind{Name: "draft", Share: 15, Question: 900, Answer: 900, Spread: 0.7, Patience: 40 * time.Second}
	desk := []Kind{check, item, quote}
	return Model{
		Deployment: d,
		Sources: []Source{
			{Organisation: "showrooms", Share: 30, Guide: 600, Kinds: desk, Turns: 4, Think: 4 * time.Second},
			{Organisation: "fitters-west", Share: 25, Guide: 400, Kinds: desk, Turns: 3, Think: 5 * time.Second},
			{Organisation: "fitters-east", Share: 25, Guide: 400, Kinds: desk, Turns: 3, Think: 5 * time.Second},
			{Organisation: "drafts", Share: 15, Guide: 800, Kinds: []Kind{item, draft}, Turns: 3, Think: 4 * time.Second},
			{Organisation: "training", Share: 5, Guide: 300, Kinds: []Kind{check, item}, Turns: 3, Think: 4 * time.Second},
		},
		Calls: []CallKind{
			{Name: "catalogue", Method: "GET", Path: "/catalogue/worktop", Share: 60, Patience: 2 * time.Second},
			{Name: "job", Method: "GET", Path: "/jobs", Share: 25, Patience: 2 * time.Second},
			{Name: "priced", Method: "POST", Path: "/quotes", Body: "kitchen", Share: 15, Once: true, Patience: 5 * time.Second},
		},
		PerConversation: 2,
		BurstEvery:      10 * time.Second,
		BurstFor:        2 * time.Second,
		BurstFactor:     3,
		Retry:           0.05,
		HangUp:          0.03,
	}
}
