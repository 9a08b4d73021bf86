package ledger

import (
	"context"

	"hawthornrill.example/hawthornrill/domain"
)

// handle adapts a function that always replies to a peer handler.
func handle[Request, Reply any](serve func(context.Context, domain.Member, Request) Reply) func(context.Context, domain.Member, Request) (Reply, error) {
	return func(ctx context.Context, from domain.Member, request Request) (Reply, error) {
		return serve(ctx, from, request), nil
	}
}
