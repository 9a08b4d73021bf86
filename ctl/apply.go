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
	// settlePause is the time between questions about an unknown outcome.
	settlePause = 2 * time.Second
	defaultWait = time.Minute
)

// editFlags are those of the commands that change the table.
type editFlags struct {
	yes  bool
	note string
	wait time.Duration
}

func addEditFlags(flags *flag.FlagSet) *editFlags {
	e := &editFlags{}
	flags.BoolVar(&e.yes, "yes", false, "do not ask")
	flags.StringVar(&e.note, "note", "", "why, for the history")
	flags.DurationVar(&e.wait, "wait", defaultWait, "how long to find out about an edit whose outcome is unknown")
	return e
}

func defineApply(flags *flag.FlagSet) body {
	t := addTarget(flags)
	base := addBase(flags)
	e := addEditFlags(flags)
	return func(ctx context.Context, s Streams, arguments []string) (int, error) {
		p, err := planOf(ctx, s, t, *base, arguments)
		if err != nil {
			return p.exit(), err
		}
		if code := p.show(s.Out); code != ExitOK || len(p.preview.Cells) == 0 {
			return code, nil
		}
		if !e.confirmed(s) {
			return ExitFailed, errors.New("not confirmed; nothing was changed")
		}
		request := operatorapi.EditRequest{ID: document.NewEditID(), Note: e.note, Base: p.base, Changes: p.changes}
		version, err := p.client.Edit(ctx, request)
		return e.finish(ctx, s, p.client, request.ID, p.preview.Version.Generation, version, err)
	}
}

func defineRollback(flags *flag.FlagSet) body {
	t := addTarget(flags)
	e := addEditFlags(flags)
	return func(ctx context.Context, s Streams, arguments []string) (int, error) {
		var problems fieldProblems
		client := t.client(s, &problems)
		generation := parseFlag("GENERATION", oneArgument("GENERATION", arguments, &problems), &problems)
		if err := problems.err(); err != nil {
			return ExitUsage, err
		}
		p, err := rollbackPlan(ctx, client, generation)
		if err != nil {
			return ExitFailed, err
		}
		if code := p.show(s.Out); code != ExitOK || len(p.preview.Cells) == 0 {
			return code, nil
		}
		if !e.confirmed(s) {
			return ExitFailed, errors.New("not confirmed; nothing was changed")
		}
		request := operatorapi.RollbackRequest{ID: document.NewEditID(), Note: e.note, Generation: generation, Expected: p.preview.Version.Generation}
		version, err := client.Rollback(ctx, request)
		return e.finish(ctx, s, client, request.ID, request.Expected, version, err)
	}
}

// confirmed asks the operator, unless told not to.
func (e *editFlags) confirmed(s Streams) bool {
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

// finish reports how an edit ended, after finding out if that is unknown.
func (e *editFlags) finish(ctx context.Context, s Streams, c *operatorapi.Client, id document.EditID, base uint64, version document.Version, err error) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, e.wait)
	defer cancel()
	for err != nil && !operatorapi.IsNotAccepted(err) && ctx.Err() == nil {
		_, _ = fmt.Fprintf(s.Err, "edit %s: %s; finding out\n", id, err)
		pacing.Sleep(ctx, settlePause)
		version, err = c.EditOutcome(ctx, id, base)
	}
	switch {
	case err == nil:
		printAccepted(s, version)
		return ExitOK, nil
	case operatorapi.IsNotAccepted(err):
		return ExitFailed, fmt.Errorf("not accepted: %w", describe(err))
	default:
		return ExitUnknown, fmt.Errorf("it is not known whether edit %s was accepted; look at table history: %w", id, err)
	}
}

// describe shows the cells of a conflict and the problems of a table.
func describe(err error) error {
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
