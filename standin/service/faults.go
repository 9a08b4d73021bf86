package service

import (
	"time"
)

// Faults are the faults injected into a service. They last until they are replaced;
// the zero value injects none.
type Faults struct {
	// Straggle multiplies the processing time of each call; 0 and 1 are normal speed.
	Straggle float64 `json:"straggle"`
	// Pause blocks all new calls, as if the process were stopped.
	Pause bool `json:"pause"`
	// Refuse refuses connections.
	Refuse bool `json:"refuse"`
	// Leaving is recorded in Run.Leaving. Calls are still accepted.
	Leaving bool `json:"leaving"`
	// AnswerDelayMillis is the delay between a call's effect and its response.
	AnswerDelayMillis int `json:"answer_delay_ms"`
	// LoseAnswers is the number of next calls that are executed but whose connection
	// is aborted in place of a response.
	LoseAnswers int `json:"lose_answers"`
	// Status is returned for all calls, which are then not executed; 0 disables the
	// fault.
	Status int `json:"status"`
}

// Faults returns the faults in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	switch {
	case f.Pause && s.resumed == nil:
		s.resumed = make(chan struct{})
	case !f.Pause && s.resumed != nil:
		close(s.resumed)
		s.resumed = nil
	}
	s.updateAvailability()
}

// Crash aborts the calls being processed or waiting for a worker, and erases the
// saved data. The service refuses connections until it has restarted.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashed {
		return
	}
	s.crashed = true
	close(s.crashSignal)
	s.data = newData()
	s.updateAvailability()
	if s.options.RestartDelay >= 0 {
		time.AfterFunc(s.options.RestartDelay, s.restart)
	}
}

func (s *Service) restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = false
	s.crashSignal = make(chan struct{})
	s.updateAvailability()
}

// updateAvailability reports a change of availability to
// Options.OnAvailabilityChange. The caller must hold s.mu.
func (s *Service) updateAvailability() {
	available := !s.crashed && !s.faults.Refuse
	if available == s.available {
		return
	}
	s.available = available
	if s.options.OnAvailabilityChange != nil {
		s.options.OnAvailabilityChange(available)
	}
}

// consumeLostAnswer decrements Faults.LoseAnswers. It returns false if the count
// is already 0.
func (s *Service) consumeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers <= 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}
