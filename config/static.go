package config

import "sync/atomic"

// StaticView is a View whose snapshot is set explicitly. The zero value has no
// snapshot.
type StaticView struct {
	current atomic.Pointer[Snapshot]
}

// NewStaticView returns a view of the given snapshot.
func NewStaticView(s *Snapshot) *StaticView {
	v := &StaticView{}
	v.Set(s)
	return v
}

// Current returns the most recently set snapshot, or nil.
func (v *StaticView) Current() *Snapshot { return v.current.Load() }

// Set makes s the current snapshot.
func (v *StaticView) Set(s *Snapshot) { v.current.Store(s) }
