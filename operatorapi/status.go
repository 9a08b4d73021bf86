package operatorapi

import (
	"cmp"
	"slices"

	"hawthornrill.example/hawthornrill/config/agreed"
	"hawthornrill.example/hawthornrill/document"
)

// statusReply aggregates the status of the nodes.
func statusReply(nodes []document.NodeStatus) StatusReply {
	reply := StatusReply{Nodes: make([]NodeReport, 0, len(nodes))}
	for _, node := range nodes {
		report := nodeReport(node)
		reply.Nodes = append(reply.Nodes, report)
		if report.Unreachable != "" {
			continue
		}
		reply.Reachable++
		if report.Table != nil {
			reply.Latest = max(reply.Latest, report.Table.Held)
		}
	}
	for _, report := range reply.Nodes {
		if report.Table != nil && report.Table.InForce == reply.Latest && reply.Latest > 0 {
			reply.InForce++
		}
	}
	slices.SortFunc(reply.Nodes, func(a, b NodeReport) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Node, b.Node))
	})
	return reply
}

func nodeReport(node document.NodeStatus) NodeReport {
	report := NodeReport{
		Node:          string(node.Member.Node),
		DataCentre:    string(node.Member.DataCentre),
		Address:       node.Member.Address,
		Unreachable:   node.Error,
		UptimeSeconds: node.Uptime.Seconds(),
	}
	for _, c := range node.Conditions {
		condition := documentStatus(c)
		if c.Name == agreed.DocumentName {
			report.Table = &condition
			continue
		}
		report.Documents = append(report.Documents, condition)
	}
	return report
}

func documentStatus(c document.Condition) DocumentStatus {
	return DocumentStatus{
		Name:         c.Name,
		Held:         c.Held.Generation,
		InForce:      c.InForce.Generation,
		SinceSeconds: c.InForceFor.Seconds(),
		Error:        c.Error,
		Watching:     c.Watching,
		StoreBehind:  c.StoreBehind,
		StoreError:   c.StoreError,
		Displaced:    c.Displaced.Generation,
	}
}
