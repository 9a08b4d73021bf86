package document

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/budget"
)

// MaxValueBytes is the maximum size of a document's value.
const MaxValueBytes = 16 << 20

// Edit identifies a change to a document and its author.
type Edit struct {
	// ID is the same for all attempts of one edit. An edit whose ID was already
	// accepted is not accepted again.
	ID     EditID
	Author string
	Note   string
}

// ChangeFunc returns the new value, given the current one. Before the first edit
// the current version has generation 0 and an empty value. It is called again for
// each attempt; if it returns an error, the edit is not accepted.
type ChangeFunc func(current Version, value []byte) (Value, error)

// Update changes a document. If the error is nil, the returned version has been
// accepted: this node holds it, and it will come into force on every node.
// Otherwise the error wraps ErrNotAccepted, if the edit definitely has no effect,
// or ErrUnknownOutcome, which ResolveEdit resolves. A change that returns an
// unchanged value creates no new version.
//
// Concurrent edits are serialized: each is applied to the result of the one before.
func (s *Service) Update(ctx context.Context, name string, edit Edit, change ChangeFunc) (Version, error) {
	r, err := s.replica(name)
	if err != nil {
		return Version{}, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	if edit.ID == (EditID{}) {
		return Version{}, fmt.Errorf("%w: edit has no identifier", ErrNotAccepted)
	}
	ctx, cancel := context.WithTimeout(budget.WithPurpose(ctx, budget.PurposeEdit), s.options.EditTimeout)
	defer cancel()
	u := &update{replica: r, edit: edit, change: change}
	version, err := u.run(ctx)
	switch {
	case err == nil:
		return version, nil
	case errors.Is(err, ErrUnknownOutcome):
		return Version{}, err
	default:
		return Version{}, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
}

// update is a call of Update with its attempts. Each attempt is accepted, definitely
// fails, or ends the update with ErrUnknownOutcome.
type update struct {
	replica *replica
	edit    Edit
	change  ChangeFunc
}

// attempt is a new head that is to replace the one at the expected revision.
type attempt struct {
	expected store.Revision
	head     head
	loaded   *loadedVersion
}

func (u *update) run(ctx context.Context) (Version, error) {
	retry := meanStoreRetryDelay
	for {
		stored, revision, err := u.replica.storage.readHead(ctx)
		if err != nil {
			return Version{}, err
		}
		if version, ok := stored.accepted(u.edit.ID); ok {
			u.replica.adoptHead(ctx, stored)
			return version, nil
		}
		if stored.isRejected(u.edit.ID) {
			return Version{}, ErrRejected
		}
		next, err := u.prepare(ctx, stored, revision)
		if err != nil {
			return Version{}, err
		}
		if next.loaded == nil {
			return next.head.Version, nil
		}
		version, err := u.commit(ctx, next)
		if !errors.Is(err, errConflict) {
			return version, err
		}
		pause(ctx, retry)
		retry = min(2*retry, time.Second)
	}
}

// prepare calls the change function and stores the parts of its result. The attempt
// has no loaded version if the value is unchanged.
func (u *update) prepare(ctx context.Context, stored head, revision store.Revision) (attempt, error) {
	r := u.replica
	current, err := u.current(ctx, stored)
	if err != nil {
		return attempt{}, err
	}
	value, err := u.change(current.version, current.content.value().Bytes())
	if err != nil {
		return attempt{}, err
	}
	c := newContent(value)
	if c.size > MaxValueBytes {
		return attempt{}, fmt.Errorf("document: value of %d bytes exceeds the limit of %d", c.size, MaxValueBytes)
	}
	for _, part := range c.parts {
		if len(part) > store.MaxValueBytes {
			return attempt{}, fmt.Errorf("document: part of %d bytes exceeds the limit of %d", len(part), store.MaxValueBytes)
		}
	}
	if c.root == current.version.Root && current.version.Generation > 0 {
		return attempt{head: head{Version: current.version}}, nil
	}
	inline, err := r.putValue(ctx, c, stored)
	if err != nil {
		return attempt{}, err
	}
	version := u.version(c, max(stored.Version.Generation, r.stamp().Generation)+1)
	next := stored.next(version, inline, r.spec.KeepHistory)
	next.Delta = deltaOf(current, c)
	return attempt{expected: revision, head: next, loaded: &loadedVersion{version: version, content: c}}, nil
}

// current returns the later of the versions in the store and on this node, so that
// an edit never builds on the old value of a store restored from a backup.
func (u *update) current(ctx context.Context, stored head) (*loadedVersion, error) {
	local := u.replica.latest.Load()
	if local != nil && !stored.Version.After(local.stamp()) {
		return local, nil
	}
	if stored.Version.Generation == 0 {
		return &loadedVersion{content: newContent(Value{})}, nil
	}
	c, err := u.replica.storage.loadHead(ctx, stored, local, u.replica.inForce.Load())
	if err != nil {
		return nil, err
	}
	return &loadedVersion{version: stored.Version, content: c}, nil
}

func (u *update) version(c *content, generation uint64) Version {
	return Version{
		Stamp:  Stamp{Generation: generation, Edit: u.edit.ID},
		Author: u.edit.Author,
		Note:   u.edit.Note,
		Size:   c.size,
		Root:   c.root,
	}
}

// commit writes the head. It returns errConflict if the head had changed and this
// attempt definitely had no effect.
func (u *update) commit(ctx context.Context, a attempt) (Version, error) {
	err := u.replica.storage.writeHead(ctx, a.head, a.expected)
	switch {
	case err == nil:
		return u.complete(a), nil
	case errors.Is(err, store.ErrConflict):
		return Version{}, errConflict
	case errors.Is(err, store.ErrUnavailable):
		return Version{}, err
	default:
		return u.resolveOutcome(ctx, a)
	}
}

// resolveOutcome determines whether a head write with a lost reply took effect, by
// repeating it. The same write against the same revision can't take effect twice.
// If the repeated write fails with a conflict, either the first write or another
// edit has succeeded.
func (u *update) resolveOutcome(ctx context.Context, a attempt) (Version, error) {
	for ctx.Err() == nil {
		err := u.replica.storage.writeHead(ctx, a.head, a.expected)
		if err == nil {
			return u.complete(a), nil
		}
		if errors.Is(err, store.ErrConflict) && u.superseded(ctx, a) {
			return Version{}, errConflict
		}
		pause(ctx, 4*meanStoreRetryDelay)
	}
	return Version{}, fmt.Errorf("%w: edit %s: %w", ErrUnknownOutcome, u.edit.ID, context.Cause(ctx))
}

// superseded reports whether the head has definitely been replaced since the
// attempt and still records the edit if it was accepted.
func (u *update) superseded(ctx context.Context, a attempt) bool {
	stored, revision, err := u.replica.storage.readHead(ctx)
	if err != nil {
		return false
	}
	_, accepted := stored.accepted(u.edit.ID)
	return accepted || (revision > a.expected && stored.recordsEditsAfter(a.head.Version.Generation-1))
}

// complete applies the accepted version on this node and announces it.
func (u *update) complete(a attempt) Version {
	r := u.replica
	r.adopt(a.loaded)
	r.announce()
	return a.loaded.version
}

// adoptHead loads and adopts the head's version if it is later than the one held. An
// error is ignored: the node then learns of the version from its peers.
func (r *replica) adoptHead(ctx context.Context, stored head) {
	c, err := r.storage.loadHead(ctx, stored, r.latest.Load(), r.inForce.Load())
	if err == nil && r.adopt(&loadedVersion{version: stored.Version, content: c}) {
		r.announce()
	}
}

// announce notifies all data centres of the version held.
func (r *replica) announce() {
	ctx := r.service.runContext()
	r.announceLocal(ctx)
	r.announceRemote(ctx)
}
