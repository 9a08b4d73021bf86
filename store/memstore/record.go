package memstore

import (
	"time"

	"hawthornrill.example/hawthornrill/store"
)

// version is one value that a key had, or its deletion.
type version struct {
	entry   store.Entry
	deleted bool
	at      time.Time
}

// record is a key with its past, the newest version last.
type record struct {
	versions []version
	// changed is closed and replaced at each write.
	changed chan struct{}
}

func newRecord() *record { return &record{changed: make(chan struct{})} }

// last returns the newest version; ok is false if there has never been one.
func (r *record) last() (v version, ok bool) {
	if len(r.versions) == 0 {
		return version{}, false
	}
	return r.versions[len(r.versions)-1], true
}

// at returns the version in force at the given time.
func (r *record) at(t time.Time) (v version, ok bool) {
	for i := len(r.versions) - 1; i >= 0; i-- {
		if !r.versions[i].at.After(t) {
			return r.versions[i], true
		}
	}
	return version{}, false
}

// revision is that of the live value, zero if there is none.
func (r *record) revision() store.Revision {
	v, ok := r.last()
	if !ok || v.deleted {
		return 0
	}
	return v.entry.Revision
}

// push adds a version, forgets those that ended before the horizon and wakes
// the watchers.
func (r *record) push(v version, horizon time.Time) {
	r.versions = append(r.versions, v)
	old := 0
	for old+1 < len(r.versions) && r.versions[old+1].at.Before(horizon) {
		old++
	}
	r.versions = r.versions[old:]
	close(r.changed)
	r.changed = make(chan struct{})
}
