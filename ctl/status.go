package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"hawthornrill.example/hawthornrill/operatorapi"
)

func defineStatus(flags *flag.FlagSet) body {
	t := addTarget(flags)
	all := flags.Bool("all", false, "list every node, also where all is well with many nodes")
	return func(ctx context.Context, s Streams, arguments []string) (int, error) {
		var problems fieldProblems
		client := t.client(s, &problems)
		noArguments(arguments, &problems)
		if err := problems.err(); err != nil {
			return ExitUsage, err
		}
		status, err := client.Status(ctx)
		if err != nil {
			return ExitFailed, err
		}
		printStatus(s.Out, status, *all)
		if status.InForce < len(status.Nodes) {
			return ExitPartialRollout, nil
		}
		return ExitOK, nil
	}
}

// listAllUpTo is up to how many nodes are listed without being asked for.
const listAllUpTo = 50

func printStatus(out io.Writer, status operatorapi.StatusReply, all bool) {
	if status.Latest == 0 {
		_, _ = fmt.Fprintln(out, "no table has been accepted yet")
	} else {
		_, _ = fmt.Fprintf(out, "generation %d is in force on %d of %d nodes that can be reached", status.Latest, status.InForce, status.Reachable)
		_, _ = fmt.Fprintf(out, "; %d can't be reached\n", len(status.Nodes)-status.Reachable)
	}
	all = all || len(status.Nodes) <= listAllUpTo
	w := newTable(out)
	_, _ = fmt.Fprintln(w, "DATA CENTRE\tNODE\tIN FORCE\tSINCE\tSTATE")
	for _, node := range status.Nodes {
		state := stateOf(node, status.Latest)
		if !all && state == stateWell {
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", node.DataCentre, node.Node, inForceOf(node), state)
	}
	_ = w.Flush()
}

// stateWell is the state of a node that needs no attention.
const stateWell = "ok"

func inForceOf(node operatorapi.NodeReport) string {
	if node.Table == nil || node.Table.InForce == 0 {
		return "-\t-"
	}
	return fmt.Sprintf("%d\t%s", node.Table.InForce, ago(node.Table.SinceSeconds))
}

// stateOf says in words what an operator should know of a node.
func stateOf(node operatorapi.NodeReport, latest uint64) string {
	if node.Unreachable != "" {
		return "can't be reached: " + node.Unreachable
	}
	if node.Table == nil {
		return "keeps no table"
	}
	var notes []string
	table := node.Table
	switch {
	case table.Error != "":
		notes = append(notes, fmt.Sprintf("can't apply generation %d: %s", table.Held, table.Error))
	case table.InForce < latest:
		notes = append(notes, "behind")
	}
	if table.StoreBehind {
		notes = append(notes, "the store shows an older table")
	}
	if table.StoreError != "" {
		notes = append(notes, "store: "+table.StoreError)
	}
	if table.Displaced != 0 {
		notes = append(notes, fmt.Sprintf("another version of generation %d was displaced", table.Displaced))
	}
	if len(notes) == 0 {
		return stateWell
	}
	return strings.Join(notes, "; ")
}
