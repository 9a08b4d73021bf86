package service

import (
	"cmp"
	"slices"
)

// data is what the service remembers.
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

// Quote is a priced quote; Number counts the quotes billed so far.
type Quote struct {
	Number int    `json:"number"`
	Text   string `json:"text"`
}

// Unlock names a clue that a team unlocks.
type Unlock struct {
	Team string `json:"team"`
	Clue string `json:"clue"`
}

// UnlockResponse answers an unlock. Uses greater than 1 is what must never happen.
type UnlockResponse struct {
	Unlock
	Uses int `json:"uses"`
}

// Score are added to a team's score.
type Score struct {
	Team   string `json:"team"`
	Points int    `json:"points"`
}

// scoreboard is sorted by points, the most first, then by team.
func (d *data) scoreboard() []Score {
	board := []Score{}
	for team, points := range d.scores {
		board = append(board, Score{Team: team, Points: points})
	}
	slices.SortFunc(board, func(a, b Score) int {
		return cmp.Or(cmp.Compare(b.Points, a.Points), cmp.Compare(a.Team, b.Team))
	})
	return board
}
