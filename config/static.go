package config

import "sync/atomic"

// StaticView is a View whose snapshot is set by its user. The zero value has
// none.
type StaticView struct {
	current atomic.Pointer[Snapshot]
}

// NewStaticView returns a view of one snapshot.
func NewStaticView(s *Snapshot) *StaticView {
	v := &StaticView{}
	v.Set(s)
	return v
}

// Current returns the snapshot last set, or nil.
func (v *StaticView) Current() *Snapshot { return v.current.Load() }

// Set puts the snapshot in force.
func (v *StaticView) Set(s *Snapshot) { v.current.Store(s) }
