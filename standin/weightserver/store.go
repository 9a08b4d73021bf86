// Package weightserver is a stand-in for the platform's weight store, which
// holds the weights of models and adapters and is limited in its rate. A Store
// runs on package time and can be used in process.
package weightserver

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hawthornrill.example/hawthornrill/defaults"
	"hawthornrill.example/hawthornrill/standin/engine"
)

var (
	// ErrUnavailable means that the store is down.
	ErrUnavailable = errors.New("weightserver: unavailable")
	// ErrBusy means that the store has too many transfers already.
	ErrBusy = errors.New("weightserver: too many transfers")
	// ErrNotFound means that there are no such weights.
	ErrNotFound = errors.New("weightserver: no such weights")
)

// Options describe a store. New fills in the defaults.
type Options struct {
	// BytesPerSecond is shared by all transfers. Default 1 GiB.
	BytesPerSecond int
	// ModelBytes and AdapterBytes are the size of weights. Default 4 MiB and 256 KiB:
	// the stand-in really sends them.
	ModelBytes   int
	AdapterBytes int
	// Transfers bounds the transfers at a time; further ones are refused. Default 8.
	MaxTransfers int
}

const (
	defaultRate         = 1 << 30
	defaultModelBytes   = 4 << 20
	defaultAdapterBytes = 256 << 10
	defaultTransfers    = 8
	// chunkBytes is what a transfer takes from the shared rate at a time.
	chunkBytes = 64 << 10
)

// Faults are what is wrong with the store, until they are set anew.
type Faults struct {
	// Down refuses all transfers.
	Down bool `json:"down"`
	// Missing lists models, as "model@version", that are not there.
	Missing []string `json:"missing,omitempty"`
}

// Store is a weight store.
type Store struct {
	options Options
	rate    *rate.Limiter

	mu      sync.Mutex
	faults  Faults
	running int
	counts  Counts
}

// Counts are sums since the start.
type Counts struct {
	Transfers uint64 `json:"transfers"`
	Refused   uint64 `json:"refused"`
	Bytes     uint64 `json:"bytes"`
}

// DefaultOptions returns the options with their defaults.
func DefaultOptions() Options { return Options{}.withDefaults() }

func (o Options) withDefaults() Options {
	defaults.Set(&o.BytesPerSecond, defaultRate)
	defaults.Set(&o.ModelBytes, defaultModelBytes)
	defaults.Set(&o.AdapterBytes, defaultAdapterBytes)
	defaults.Set(&o.MaxTransfers, defaultTransfers)
	return o
}

// New returns a store.
func New(options Options) *Store {
	options = options.withDefaults()
	return &Store{
		options: options,
		rate:    rate.NewLimiter(rate.Limit(options.BytesPerSecond), chunkBytes),
	}
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the sums so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Transfer sends weights to send, a piece at a time, at the store's rate.
func (s *Store) Transfer(ctx context.Context, weights engine.Weights, send func(piece []byte) error) error {
	if err := s.begin(weights); err != nil {
		return err
	}
	defer s.end()
	piece := make([]byte, chunkBytes)
	for left := s.Size(weights); left > 0; left -= chunkBytes {
		n := min(left, chunkBytes)
		if err := s.take(ctx, n); err != nil {
			return err
		}
		if err := send(piece[:n]); err != nil {
			return err
		}
	}
	return nil
}

// Size is the number of bytes of weights.
func (s *Store) Size(weights engine.Weights) int {
	if weights.Adapter != "" {
		return s.options.AdapterBytes
	}
	return s.options.ModelBytes
}

func (s *Store) begin(weights engine.Weights) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.check(weights)
	if err != nil {
		s.counts.Refused++
		return err
	}
	s.counts.Transfers++
	s.running++
	return nil
}

func (s *Store) check(weights engine.Weights) error {
	switch {
	case s.faults.Down:
		return ErrUnavailable
	case s.running >= s.options.MaxTransfers:
		return ErrBusy
	}
	name := weights.Model + "@" + weights.Version
	for _, missing := range s.faults.Missing {
		if missing == name {
			return fmt.Errorf("%w: %s", ErrNotFound, name)
		}
	}
	return nil
}

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// take waits for the rate.
func (s *Store) take(ctx context.Context, n int) error {
	now := time.Now()
	reservation := s.rate.ReserveN(now, n)
	timer := time.NewTimer(reservation.DelayFrom(now))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		reservation.Cancel()
		return context.Cause(ctx)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Bytes += uint64(n)
	return nil
}
