package ledger

import (
	"context"
	"fmt"

	"hawthornrill.example/hawthornrill/domain"
)

// target is a key with what is needed to reach its home.
type target struct {
	key   domain.RequestKey
	hash  KeyHash
	flags recordFlags
}

// targetOf returns the target of a key as seen from this node.
func (r *Replica) targetOf(key domain.RequestKey) target {
	return target{key, hashKey(key), r.copyFlags(key.Scope)}
}

// copyFlags returns the flags of the copy that this incarnation keeps as the holder of
// a claim.
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

// route is the home of a key, with the epoch in which it is the home.
type route struct {
	home domain.Member
	// epoch is zero for keys of node scope.
	epoch uint64
}

// route returns the key's home according to the tables and membership known now.
func (r *Replica) route(ctx context.Context, t target) (route, error) {
	if t.key.Scope.Kind == domain.ScopeNode {
		return r.routeToIncarnation(t.key.Scope)
	}
	h := r.historyOf(t.key.Scope.DataCentre)
	if h == nil {
		h = r.queryTable(ctx, t.key.Scope.DataCentre, nil)
	}
	if h == nil {
		return route{}, fmt.Errorf("%w: no table of data centre %s", ErrUnknown, t.key.Scope.DataCentre)
	}
	home, ok := h.home(t.hash)
	if !ok {
		return route{}, fmt.Errorf("%w: no eligible member in the table of data centre %s", ErrUnknown, t.key.Scope.DataCentre)
	}
	return route{home, h.table.Epoch}, nil
}

// routeToIncarnation returns the route of a key of node scope.
func (r *Replica) routeToIncarnation(scope domain.Scope) (route, error) {
	if r.isSelf(scope) {
		return route{home: r.self}, nil
	}
	member := domain.Member{Node: scope.Node, Incarnation: scope.Incarnation}
	if r.options.Membership == nil || r.incarnationEnded(member) {
		return route{}, fmt.Errorf("%w: incarnation %s is gone", ErrUnknown, member)
	}
	for _, p := range r.options.Membership.Current().Peers {
		if p.SameIncarnation(member) {
			return route{home: p.Member}, nil
		}
	}
	return route{}, fmt.Errorf("%w: incarnation %s is not known to membership", ErrUnknown, member)
}
