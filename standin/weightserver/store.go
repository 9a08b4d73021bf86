// Package weightserver simulates the platform's weight store, which holds the
// weights of models and adapters and limits the rate of transfers. A Store takes
// its time from package time and can be used in process.
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
	// ErrUnavailable is returned while the store is down.
	ErrUnavailable = errors.New("weightserver: unavailable")
	// ErrBusy is returned when Options.MaxTransfers transfers are in progress.
	ErrBusy = errors.New("weightserver: too many transfers")
	// ErrNotFound is returned for weights that the store does not hold.
	ErrNotFound = errors.New("weightserver: no such weights")
)

// Options configure a store. New replaces zero values by the defaults.
type Options struct {
	// BytesPerSecond is shared by all transfers. Default 1 GiB.
	BytesPerSecond int
	// ModelBytes and AdapterBytes are the sizes of weights. Default 4 MiB and 256 KiB,
	// far below real sizes, because the weights are sent in full.
	ModelBytes   int
	AdapterBytes int
	// MaxTransfers is the maximum number of concurrent transfers; further ones are
	// refused. Default 8.
	MaxTransfers int
}

const (
	defaultBytesPerSecond = 1 << 30
	defaultModelBytes     = 4 << 20
	defaultAdapterBytes   = 256 << 10
	defaultMaxTransfers   = 8
	// chunkBytes is the number of bytes that a transfer sends at a time, and the burst
	// of the shared rate limit.
	chunkBytes = 64 << 10
)

// Faults are the faults injected into the store. They last until they are replaced.
type Faults struct {
	// Down refuses all transfers.
	Down bool `json:"down"`
	// Missing lists models, as "model@version", that the store does not hold.
	Missing []string `json:"missing,omitempty"`
}

// Store is a simulated weight store. Its methods are safe for concurrent use.
type Store struct {
	options Options
	limiter *rate.Limiter

	mu              sync.Mutex
	faults          Faults
	activeTransfers int
	counts          Counts
}

// Counts are totals since the store was created. Bytes counts transferred bytes.
type Counts struct {
	Transfers uint64 `json:"transfers"`
	Refused   uint64 `json:"refused"`
	Bytes     uint64 `json:"bytes"`
}

// DefaultOptions returns the options that New uses for zero values.
func DefaultOptions() Options { return Options{}.withDefaults() }

func (o Options) withDefaults() Options {
	defaults.Set(&o.BytesPerSecond, defaultBytesPerSecond)
	defaults.Set(&o.ModelBytes, defaultModelBytes)
	defaults.Set(&o.AdapterBytes, defaultAdapterBytes)
	defaults.Set(&o.MaxTransfers, defaultMaxTransfers)
	return o
}

// New returns a store.
func New(options Options) *Store {
	options = options.withDefaults()
	return &Store{
		options: options,
		limiter: rate.NewLimiter(rate.Limit(options.BytesPerSecond), chunkBytes),
	}
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Counts returns the current totals.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Transfer passes the weights to send in chunks, at the store's rate.
func (s *Store) Transfer(ctx context.Context, weights engine.Weights, send func(chunk []byte) error) error {
	if err := s.startTransfer(weights); err != nil {
		return err
	}
	defer s.endTransfer()
	chunk := make([]byte, chunkBytes)
	for remaining := s.Size(weights); remaining > 0; remaining -= chunkBytes {
		n := min(remaining, chunkBytes)
		if err := s.waitForRate(ctx, n); err != nil {
			return err
		}
		if err := send(chunk[:n]); err != nil {
			return err
		}
	}
	return nil
}

// Size returns the size of weights in bytes.
func (s *Store) Size(weights engine.Weights) int {
	if weights.Adapter != "" {
		return s.options.AdapterBytes
	}
	return s.options.ModelBytes
}

func (s *Store) startTransfer(weights engine.Weights) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.checkAvailable(weights)
	if err != nil {
		s.counts.Refused++
		return err
	}
	s.counts.Transfers++
	s.activeTransfers++
	return nil
}

func (s *Store) checkAvailable(weights engine.Weights) error {
	switch {
	case s.faults.Down:
		return ErrUnavailable
	case s.activeTransfers >= s.options.MaxTransfers:
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

func (s *Store) endTransfer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeTransfers--
}

// waitForRate waits until the rate limit admits n bytes, then counts them.
func (s *Store) waitForRate(ctx context.Context, n int) error {
	now := time.Now()
	reservation := s.limiter.ReserveN(now, n)
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
