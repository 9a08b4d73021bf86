package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"strconv"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/operatorapi"
)

func defineExport(flags *flag.FlagSet) commandFunc {
	t := addTargetFlags(flags)
	generation := flags.String("generation", "0", "the `generation` to export; 0 for the one in force")
	return func(ctx context.Context, s Streams, arguments []string) (int, error) {
		var problems usageProblems
		client := t.client(s, &problems)
		path := requireOneArgument("PATH", arguments, &problems)
		number := parseNumber("-generation", *generation, &problems)
		if err := problems.err(); err != nil {
			return ExitUsage, err
		}
		reply, err := client.Table(ctx, number)
		if err != nil {
			return ExitFailed, err
		}
		if err := writeTable(path, tableFile{table: reply.Table, generation: reply.Version.Generation}); err != nil {
			return ExitFailed, err
		}
		_, _ = fmt.Fprintf(s.Out, "%s: generation %d, %d organisations, %d endpoints\n",
			path, reply.Version.Generation, len(reply.Table.Organisations), len(reply.Table.Endpoints))
		return ExitOK, nil
	}
}

func defineCheck(*flag.FlagSet) commandFunc {
	return func(_ context.Context, s Streams, arguments []string) (int, error) {
		var problems usageProblems
		path := requireOneArgument("PATH", arguments, &problems)
		if err := problems.err(); err != nil {
			return ExitUsage, err
		}
		if _, err := readTable(path); err != nil {
			return ExitFailed, err
		}
		_, _ = fmt.Fprintf(s.Out, "%s: no problems\n", path)
		return ExitOK, nil
	}
}

func defineDiff(flags *flag.FlagSet) commandFunc {
	t := addTargetFlags(flags)
	base := addBaseFlag(flags)
	return func(ctx context.Context, s Streams, arguments []string) (int, error) {
		p, err := newPlan(ctx, s, t, *base, arguments)
		if err != nil {
			return p.exitCode(), err
		}
		return p.print(s.Out), nil
	}
}

func addBaseFlag(flags *flag.FlagSet) *string {
	return flags.String("base", "", "the `generation` that the file was made from, if the file doesn't say")
}

func defineHistory(flags *flag.FlagSet) commandFunc {
	t := addTargetFlags(flags)
	return func(ctx context.Context, s Streams, arguments []string) (int, error) {
		var problems usageProblems
		client := t.client(s, &problems)
		rejectArguments(arguments, &problems)
		if err := problems.err(); err != nil {
			return ExitUsage, err
		}
		versions, err := client.History(ctx)
		if err != nil {
			return ExitFailed, err
		}
		return ExitOK, printHistory(s.Out, versions)
	}
}

// parseNumber parses an unsigned integer and adds a problem if it is invalid.
func parseNumber(field, value string, problems *usageProblems) uint64 {
	number, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		problems.add(field, value, "must be a whole number")
	}
	return number
}

// plan is a set of changes to the table and a preview of their effect.
type plan struct {
	client       *operatorapi.Client
	base         uint64
	changes      []config.Change
	preview      operatorapi.PreviewReply
	invalidUsage bool
}

// newPlan reads a table file and compares it with the generation that it was
// exported from, so that changes which others have made since are preserved.
func newPlan(ctx context.Context, s Streams, t *target, base string, arguments []string) (plan, error) {
	var problems usageProblems
	p := plan{client: t.client(s, &problems), invalidUsage: true}
	path := requireOneArgument("PATH", arguments, &problems)
	if base != "" {
		p.base = parseNumber("-base", base, &problems)
	}
	if err := problems.err(); err != nil {
		return p, err
	}
	p.invalidUsage = false
	file, err := readTable(path)
	if err != nil {
		return p, err
	}
	if base == "" {
		p.base = file.generation
	}
	before, err := p.baseTable(ctx)
	if err != nil {
		return p, err
	}
	p.changes = config.Diff(before, file.table)
	if len(p.changes) > 0 {
		p.preview, err = p.client.Preview(ctx, p.changes)
	}
	return p, err
}

// baseTable returns the table that the file was exported from.
func (p plan) baseTable(ctx context.Context) (config.Table, error) {
	reply, err := p.client.Table(ctx, p.base)
	var failure *operatorapi.Failure
	switch {
	case errors.As(err, &failure) && failure.Status == 404:
		return config.Table{}, fmt.Errorf("generation %d, which the file was made from, is no longer kept: export again and repeat the changes", p.base)
	case err != nil:
		return config.Table{}, err
	case p.base == 0 && reply.Version.Generation != 0:
		return config.Table{}, fmt.Errorf("the file doesn't say which generation it was made from: export again, or give -base (in force is %d)", reply.Version.Generation)
	}
	return reply.Table, nil
}

func (p plan) exitCode() int {
	if p.invalidUsage {
		return ExitUsage
	}
	return ExitFailed
}

// printAccepted reports an accepted version.
func printAccepted(s Streams, version document.Version) {
	_, _ = fmt.Fprintf(s.Out, "accepted: generation %d\n", version.Generation)
}
