package document

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hawthornrill.example/hawthornrill/store"
	"hawthornrill.example/hawthornrill/store/budget"
)

// MaxValueBytes bounds a document's value.
const MaxValueBytes = 16 << 20

// Edit describes who changes a document.
type Edit struct {
	// ID is the same for all attempts of one edit; an edit whose ID was accepted
	// before is not accepted again.
	ID     EditID
	Author string
	Note   string
}

// ChangeFunc returns the value that follows the current one, which has
// generation 0 and no bytes before the first edit. It is called again for each
// attempt; its error refuses the edit.
type ChangeFunc func(current Version, value []byte) (Value, error)

// Update changes a document. After a nil error the returned version is accepted:
// it will be in force on every node, and this one holds it. An error
// is ErrNotAccepted, which is certain, or ErrUnknownOutcome, which Settle
// resolves. A change that returns the same bytes makes no new version.
//
// Edits that race are applied one on top of the other.
func (s *Service) Update(ctx context.Context, name string, edit Edit, change ChangeFunc) (Version, error) {
	r, err := s.replica(name)
	if err != nil {
		return Version{}, fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	if edit.ID == (EditID{}) {
		return Version{}, fmt.Errorf("%w: the edit has no identifier", ErrNotAccepted)
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

// update is one Update with its attempts. Every attempt either was accepted, was
// certainly not, or ends the update with ErrUnknownOutcome.
type update struct {
	replica *replica
	edit    Edit
	change  ChangeFunc
}

// attempt is a head that is to replace the one at the expected revision.
type attempt struct {
	expected store.Revision
	head     head
	held     *held
}

func (u *update) run(ctx context.Context) (Version, error) {
	retry := storeRetry
	for {
		stored, revision, err := u.replica.storage.readHead(ctx)
		if err != nil {
			return Version{}, err
		}
		if version, ok := stored.accepted(u.edit.ID); ok {
			u.replica.catchUp(ctx, stored)
			return version, nil
		}
		if stored.isRefused(u.edit.ID) {
			return Version{}, ErrRejected
		}
		next, err := u.prepare(ctx, stored, revision)
		if err != nil {
			return Version{}, err
		}
		if next.held == nil {
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

// prepare has the change made and its parts stored. The attempt has no held
// version if nothing changes.
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
		return attempt{}, fmt.Errorf("document: value of %d bytes is over the limit of %d", c.size, MaxValueBytes)
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
	return attempt{expected: revision, head: next, held: &held{version: version, content: c}}, nil
}

// current returns the later of what the store and this node have. A store that
// was restored from an old copy must not bring an old value back.
func (u *update) current(ctx context.Context, stored head) (*held, error) {
	mine := u.replica.latest.Load()
	if mine != nil && !stored.Version.After(mine.stamp()) {
		return mine, nil
	}
	if stored.Version.Generation == 0 {
		return &held{content: newContent(Value{})}, nil
	}
	c, err := u.replica.storage.loadHead(ctx, stored, mine, u.replica.inForce.Load())
	if err != nil {
		return nil, err
	}
	return &held{version: stored.Version, content: c}, nil
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

// commit writes the head. errConflict means that this attempt certainly had no
// effect because the head has changed.
func (u *update) commit(ctx context.Context, a attempt) (Version, error) {
	err := u.replica.storage.writeHead(ctx, a.head, a.expected)
	switch {
	case err == nil:
		return u.accept(a), nil
	case errors.Is(err, store.ErrConflict):
		return Version{}, errConflict
	case errors.Is(err, store.ErrUnavailable):
		return Version{}, err
	default:
		return u.settle(ctx, a)
	}
}

// settle finds out about a write whose answer was lost. Writing the same head
// against the same revision again can't take effect twice; when either attempt
// is refused, the other one or another edit has taken effect.
func (u *update) settle(ctx context.Context, a attempt) (Version, error) {
	for ctx.Err() == nil {
		err := u.replica.storage.writeHead(ctx, a.head, a.expected)
		if err == nil {
			return u.accept(a), nil
		}
		if errors.Is(err, store.ErrConflict) && u.superseded(ctx, a) {
			return Version{}, errConflict
		}
		pause(ctx, 4*storeRetry)
	}
	return Version{}, fmt.Errorf("%w: edit %s: %w", ErrUnknownOutcome, u.edit.ID, context.Cause(ctx))
}

// superseded reports whether the head is certainly a later one than expected, and
// still remembers the edit if that was accepted.
func (u *update) superseded(ctx context.Context, a attempt) bool {
	stored, revision, err := u.replica.storage.readHead(ctx)
	if err != nil {
		return false
	}
	_, accepted := stored.accepted(u.edit.ID)
	return accepted || (revision > a.expected && stored.covers(a.head.Version.Generation-1))
}

// accept puts the version in force here and tells the others.
func (u *update) accept(a attempt) Version {
	r := u.replica
	r.adopt(a.held)
	r.announce()
	return a.held.version
}

// catchUp takes the head's version if it is later than the one held; if it can't
// be loaded now, the peers tell of it later.
func (r *replica) catchUp(ctx context.Context, stored head) {
	c, err := r.storage.loadHead(ctx, stored, r.latest.Load(), r.inForce.Load())
	if err == nil && r.adopt(&held{version: stored.Version, content: c}) {
		r.announce()
	}
}

// announce tells all data centres of the version held.
func (r *replica) announce() {
	ctx := r.service.context()
	r.announceLocal(ctx)
	r.announceRemote(ctx)
}
