package memstore

import (
	"time"

	"hawthornrill.example/hawthornrill/store"
)

// version is one past or present value of a key, or its deletion.
type version struct {
	entry   store.Entry
	deleted bool
	at      time.Time
}

// record holds the versions of a key, the newest last.
type record struct {
	versions []version
	// changed is closed and replaced at each write.
	changed chan struct{}
}

func newRecord() *record { return &record{changed: make(chan struct{})} }

// last returns the newest version; ok is false if there is none.
func (r *record) last() (v version, ok bool) {
	if len(r.versions) == 0 {
		return version{}, false
	}
	return r.versions[len(r.versions)-1], true
}

// at returns the version that was current at the given time.
func (r *record) at(t time.Time) (v version, ok bool) {
	for i := len(r.versions) - 1; i >= 0; i-- {
		if !r.versions[i].at.After(t) {
			return r.versions[i], true
		}
	}
	return version{}, false
}

// revision returns the revision of the current value, or zero if there is none.
func (r *record) revision() store.Revision {
	v, ok := r.last()
	if !ok || v.deleted {
		return 0
	}
	return v.entry.Revision
}

// push adds a version, discards those replaced before the horizon and notifies the
// watchers.
func (r *record) push(v version, horizon time.Time) {
	r.versions = append(r.versions, v)
	expired := 0
	for expired+1 < len(r.versions) && r.versions[expired+1].at.Before(horizon) {
		expired++
	}
	r.versions = r.versions[expired:]
	close(r.changed)
	r.changed = make(chan struct{})
}
