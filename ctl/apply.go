package ctl

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/operatorapi"
	"hawthornrill.example/hawthornrill/pacing"
)

const (
	// outcomePollInterval is the time between queries for an unknown outcome.
	outcomePollInterval = 2 * time.Second
	defaultOutcomeWait  = time.Minute
)

// editFlags are the flags of the commands that change the table.
type editFlags struct {
	yes  bool
	note string
	wait time.Duration
}

func addEditFlags(flags *flag.FlagSet) *editFlags {
	e := &editFlags{}
	flags.BoolVar(&e.yes, "yes", false, "do not ask")
	flags.StringVar(&e.note, "note", "", "why, for the history")
	flags.DurationVar(&e.wait, "wait", defaultOutcomeWait, "how long to find out about an edit whose outcome is unknown")
	return e
}

func defineApply(flags *flag.FlagSet) commandFunc {
	t := addTargetFlags(flags)
	base := addBaseFlag(flags)
	e := addEditFlags(flags)
	return func(ctx context.Context, s Streams, arguments []string) (int, error) {
		p, err := newPlan(ctx, s, t, *base, arguments)
		if err != nil {
			return p.exitCode(), err
		}
		if code := p.print(s.Out); code != ExitOK || len(p.preview.Cells) == 0 {
			return code, nil
		}
		if !e.confirm(s) {
			return ExitFailed, errors.New("not confirmed; nothing was changed")
		}
		request := operatorapi.EditRequest{ID: document.NewEditID(), Note: e.note, Changes: p.changes}
		version, err := p.client.Edit(ctx, request)
		return e.reportOutcome(ctx, s, p.client, request.ID, p.preview.Version.Generation, version, err)
	}
}

func defineRollback(flags *flag.FlagSet) commandFunc {
	t := addTargetFlags(flags)
	e := addEditFlags(flags)
	return func(ctx context.Context, s Streams, arguments []string) (int, error) {
		var problems usageProblems
		client := t.client(s, &problems)
		generation := parseNumber("GENERATION", requireOneArgument("GENERATION", arguments, &problems), &problems)
		if err := problems.err(); err != nil {
			return ExitUsage, err
		}
		p, err := rollbackPlan(ctx, client, generation)
		if err != nil {
			return ExitFailed, err
		}
		if code := p.print(s.Out); code != ExitOK || len(p.preview.Cells) == 0 {
			return code, nil
		}
		if !e.confirm(s) {
			return ExitFailed, errors.New("not confirmed; nothing was changed")
		}
		request := operatorapi.RollbackRequest{ID: document.NewEditID(), Note: e.note, Generation: generation, Expected: p.preview.Version.Generation}
		version, err := client.Rollback(ctx, request)
		return e.reportOutcome(ctx, s, client, request.ID, request.Expected, version, err)
	}
}

// confirm asks the operator for confirmation, unless -yes is set.
func (e *editFlags) confirm(s Streams) bool {
	if e.yes {
		return true
	}
	_, _ = fmt.Fprint(s.Out, "Make these changes? [y/N] ")
	line, err := bufio.NewReader(s.In).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return false
	}
	answer := strings.ToLower(strings.TrimSpace(line))
	return answer == "y" || answer == "yes"
}

// reportOutcome reports the outcome of an edit. While it is unknown, it queries the
// nodes for up to -wait.
func (e *editFlags) reportOutcome(ctx context.Context, s Streams, c *operatorapi.Client, id document.EditID, base uint64, version document.Version, err error) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, e.wait)
	defer cancel()
	for err != nil && !operatorapi.IsNotAccepted(err) && ctx.Err() == nil {
		_, _ = fmt.Fprintf(s.Err, "edit %s: %s; finding out\n", id, err)
		pacing.Sleep(ctx, outcomePollInterval)
		version, err = c.EditOutcome(ctx, id, base)
	}
	switch {
	case err == nil:
		printAccepted(s, version)
		return ExitOK, nil
	case operatorapi.IsNotAccepted(err):
		return ExitFailed, fmt.Errorf("not accepted: %w", errorDetails(err))
	default:
		return ExitUnknown, fmt.Errorf("it is not known whether edit %s was accepted; look at table history: %w", id, err)
	}
}

// errorDetails returns the conflicts or the problems of a Failure, if it has any.
func errorDetails(err error) error {
	var failure *operatorapi.Failure
	switch {
	case !errors.As(err, &failure):
		return err
	case len(failure.Conflicts) > 0:
		return failure.Conflicts
	case len(failure.Problems) > 0:
		return failure.Problems
	}
	return failure
}
