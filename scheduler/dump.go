package scheduler

import "hawthornrill.example/hawthornrill/answer"

// State is what the state dump shows of the scheduler.
type State struct {
	Draining    bool                `json:"draining"`
	Waiting     int                 `json:"waiting"`
	Running     int                 `json:"running"`
	Undelivered int                 `json:"ended_undelivered"`
	Answers     answer.RegistrySize `json:"answers"`
}

// State returns counts of what is in progress. Keys and contents stay out.
func (s *Scheduler) State() State {
	state := State{Draining: s.Draining(), Answers: s.parts.Answers.Size()}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.tasks {
		switch t.phaseNow() {
		case PhaseWaiting:
			state.Waiting++
		case PhaseRunning:
			state.Running++
		case PhaseEnded:
			state.Undelivered++
		}
	}
	return state
}
