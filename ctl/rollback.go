package ctl

import (
	"context"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/operatorapi"
)

// rollbackPlan returns the changes that a rollback to a generation would make.
func rollbackPlan(ctx context.Context, client *operatorapi.Client, generation uint64) (plan, error) {
	p := plan{client: client}
	old, err := client.Table(ctx, generation)
	if err != nil {
		return p, err
	}
	current, err := client.Table(ctx, 0)
	if err != nil {
		return p, err
	}
	config.KeepHomes(current.Table, &old.Table)
	p.base = current.Version.Generation
	p.changes = config.Diff(current.Table, old.Table)
	p.preview.Version = current.Version
	if len(p.changes) > 0 {
		p.preview, err = client.Preview(ctx, p.changes)
	}
	return p, err
}
