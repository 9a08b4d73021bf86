package service

import (
	"cmp"
	"slices"
)

// data is the service's state, which a crash erases.
type data struct {
	jobs    []Job
	quotes  int
	scores  map[string]int
	unlocks map[Unlock]int
}

func newData() data {
	return data{scores: make(map[string]int), unlocks: make(map[Unlock]int)}
}

// Job is a saved job.
type Job struct {
	ID   int    `json:"id"`
	Text string `json:"text"`
}

// Quote is a priced quote. Number is the count of quotes billed so far.
type Quote struct {
	Number int    `json:"number"`
	Text   string `json:"text"`
}

// Unlock identifies a clue unlocked by a team.
type Unlock struct {
	Team string `json:"team"`
	Clue string `json:"clue"`
}

// UnlockResponse is the response to an unlock. Uses counts the calls that unlocked
// the clue for the team; more than 1 means that a non-idempotent call was executed
// again.
type UnlockResponse struct {
	Unlock
	Uses int `json:"uses"`
}

// Score is a team's points: in a request those to add, in a response the total.
type Score struct {
	Team   string `json:"team"`
	Points int    `json:"points"`
}

// scoreboard returns the scores by points in descending order, then by team.
func (d *data) scoreboard() []Score {
	scores := []Score{}
	for team, points := range d.scores {
		scores = append(scores, Score{Team: team, Points: points})
	}
	slices.SortFunc(scores, func(a, b Score) int {
		return cmp.Or(cmp.Compare(b.Points, a.Points), cmp.Compare(a.Team, b.Team))
	})
	return scores
}
