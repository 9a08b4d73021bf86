package ledger

import (
	"context"
	"fmt"

	"hawthornrill.example/hawthornrill/domain"
)

// target is a key on its way to its home.
type target struct {
	key   domain.RequestKey
	hash  KeyHash
	flags recordFlags
}

// targetOf returns the target of a key as seen from this node.
func (r *Replica) targetOf(key domain.RequestKey) target {
	return target{key, hashKey(key), r.copyFlags(key.Scope)}
}

// copyFlags are the flags of the copy that this life keeps as the holder of a
// claim.
func (r *Replica) copyFlags(scope domain.Scope) recordFlags {
	switch {
	case scope.Kind == domain.ScopeNode && r.isSelf(scope):
		return flagNodeScope
	case scope.Kind == domain.ScopeNode, scope.DataCentre != r.self.DataCentre:
		return flagForeign
	}
	return 0
}

func (r *Replica) isSelf(scope domain.Scope) bool {
	return scope.Node == r.self.Node && scope.Incarnation == r.self.Incarnation
}

// route is where a key is decided.
type route struct {
	home domain.Member
	// epoch is zero for keys of node scope.
	epoch uint64
}

// route finds the key's home by what this node knows now.
func (r *Replica) route(ctx context.Context, t target) (route, error) {
	if t.key.Scope.Kind == domain.ScopeNode {
		return r.routeToLife(t.key.Scope)
	}
	h := r.historyOf(t.key.Scope.DataCentre)
	if h == nil {
		h = r.askForTable(ctx, t.key.Scope.DataCentre, nil)
	}
	if h == nil {
		return route{}, fmt.Errorf("%w: no table of data centre %s", ErrUnknown, t.key.Scope.DataCentre)
	}
	home, ok := h.home(t.hash)
	if !ok {
		return route{}, fmt.Errorf("%w: empty table of data centre %s", ErrUnknown, t.key.Scope.DataCentre)
	}
	return route{home, h.table.Epoch}, nil
}

// routeToLife finds the life that decides about a key of node scope.
func (r *Replica) routeToLife(scope domain.Scope) (route, error) {
	if r.isSelf(scope) {
		return route{home: r.self}, nil
	}
	life := domain.Member{Node: scope.Node, Incarnation: scope.Incarnation}
	if r.options.Membership == nil || r.lifeGone(life) {
		return route{}, fmt.Errorf("%w: %s is gone", ErrUnknown, life)
	}
	for _, p := range r.options.Membership.Current().Peers {
		if p.SameIncarnation(life) {
			return route{home: p.Member}, nil
		}
	}
	return route{}, fmt.Errorf("%w: %s is not known", ErrUnknown, life)
}
