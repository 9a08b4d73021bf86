package load

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the report as a text table.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s %s, load %.1f of capacity, seed %d, %.0f s\n", r.Workload, r.Policy, r.Load, r.Seed, r.Seconds)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "group\toffered\tadmitted\ton time\tprompt\tlate\tnot_run\tunknown\tran\tbroken\thung up\tbound\tgoodput\tfirst p50\tp95\tp99 ms\t")
	rows := append([]Row{r.Total}, r.Tiers...)
	rows = append(rows, r.Organisations...)
	rows = append(rows, r.Kinds...)
	for _, row := range append(rows, r.Calls) {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.0f\t%.0f\t%.0f\t\n", row.Group, row.Offered, row.Admitted,
			row.OnTime, row.Prompt, row.Late, row.NotRun, row.Unknown, row.Ran, row.Broken, row.HungUp, row.Bound, row.Goodput(),
			row.First.P50, row.First.P95, row.First.P99)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	p := r.Prefill
	fmt.Fprintf(w, "prefill: done %d, reused %d, wasted %d (abandoned %d, computed again %d, of these at the same engine %d)\n",
		p.Done, p.Reused, p.Wasted(), p.Abandoned, p.Repeated, p.RepeatedSame)
	fmt.Fprintf(w, "between tokens ms: p50 %.1f p95 %.1f p99 %.1f; answer tokens %d; problems %v; not sent %d\n",
		r.Gaps.P50, r.Gaps.P95, r.Gaps.P99, r.Generated, r.Codes, r.Dropped)
	r.writeTraffic(w)
	v := r.Verdict
	_, err := fmt.Fprintf(w, "verdict: run twice %d, wrong answer %d, run though told not_run %d, answered but not run %d, shed above a served tier %d; refused for deadline above a served tier %d %v\n\n",
		v.RunTwice, v.WrongAnswer, v.RunThoughNotRun, v.AnsweredUnrun, v.ShedAbove, v.LateAbove, v.Examples)
	return err
}

// writeTraffic writes the traffic between the nodes and to the store, which cannot be
// observed over HTTP.
func (r *Report) writeTraffic(w io.Writer) {
	if r.PeerMessages == 0 {
		fmt.Fprintln(w, "peers and store: not seen from outside")
		return
	}
	fmt.Fprintf(w, "peers: %d messages, %d bytes; store: %d reads, %d writes, %d watches\n", r.PeerMessages, r.PeerBytes, r.StoreReads, r.StoreWrites, r.StoreWatches)
}
