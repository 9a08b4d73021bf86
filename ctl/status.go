package ctl

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"hawthornrill.example/hawthornrill/operatorapi"
)

func defineStatus(flags *flag.FlagSet) commandFunc {
	t := addTargetFlags(flags)
	all := flags.Bool("all", false, "list every node, also where all is well with many nodes")
	return func(ctx context.Context, s Streams, arguments []string) (int, error) {
		var problems usageProblems
		client := t.client(s, &problems)
		rejectArguments(arguments, &problems)
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

// maxNodesListed is the largest number of nodes that are all listed without -all;
// above it, only nodes that need attention are.
const maxNodesListed = 50

func printStatus(out io.Writer, status operatorapi.StatusReply, all bool) {
	if status.Latest == 0 {
		_, _ = fmt.Fprintln(out, "no table has been accepted yet")
	} else {
		_, _ = fmt.Fprintf(out, "generation %d is in force on %d of %d nodes that can be reached", status.Latest, status.InForce, status.Reachable)
		_, _ = fmt.Fprintf(out, "; %d can't be reached\n", len(status.Nodes)-status.Reachable)
	}
	all = all || len(status.Nodes) <= maxNodesListed
	w := newTabWriter(out)
	_, _ = fmt.Fprintln(w, "DATA CENTRE\tNODE\tIN FORCE\tSINCE\tSTATE")
	for _, node := range status.Nodes {
		state := nodeState(node, status.Latest)
		if !all && state == stateOK {
			continue
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", node.DataCentre, node.Node, inForceColumns(node), state)
	}
	_ = w.Flush()
}

// stateOK is the state printed for a node that needs no attention.
const stateOK = "ok"

func inForceColumns(node operatorapi.NodeReport) string {
	if node.Table == nil || node.Table.InForce == 0 {
		return "-\t-"
	}
	return fmt.Sprintf("%d\t%s", node.Table.InForce, formatAge(node.Table.SinceSeconds))
}

// nodeState describes the problems of a node; it is stateOK without any.
func nodeState(node operatorapi.NodeReport, latest uint64) string {
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
		return stateOK
	}
	return strings.Join(notes, "; ")
}
