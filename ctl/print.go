package ctl

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/operatorapi"
)

// maxEffects bounds the organisations shown; the others are counted.
const maxEffects = 20

// show prints what a plan would do, and returns ExitFailed if it would not be
// accepted.
func (p plan) show(out io.Writer) int {
	switch {
	case len(p.preview.Conflicts) > 0:
		_, _ = fmt.Fprintln(out, p.preview.Conflicts.Error())
		return ExitFailed
	case len(p.preview.Problems) > 0:
		_, _ = fmt.Fprintln(out, p.preview.Problems.Error())
		return ExitFailed
	case len(p.preview.Cells) == 0:
		_, _ = fmt.Fprintln(out, "nothing to change")
		return ExitOK
	}
	printCells(out, p.preview.Cells)
	printEffects(out, p.preview.Effects)
	return ExitOK
}

func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
}

func printCells(out io.Writer, cells []operatorapi.CellEffect) {
	w := newTable(out)
	_, _ = fmt.Fprintln(w, "KIND\tROW\tCOLUMN\tNOW\tTHEN")
	for _, cell := range cells {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", cell.Kind, cell.Key, cell.Column, orDash(cell.Before), orDash(cell.After))
	}
	_ = w.Flush()
}

func printEffects(out io.Writer, effects []config.ShareEffect) {
	if len(effects) == 0 {
		return
	}
	_, _ = fmt.Fprintln(out)
	w := newTable(out)
	_, _ = fmt.Fprintln(w, "ORGANISATION\tSHARE NOW\tSHARE THEN")
	for _, effect := range effects[:min(len(effects), maxEffects)] {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", effect.Organisation, shareText(effect.Before), shareText(effect.After))
	}
	_ = w.Flush()
	if more := len(effects) - maxEffects; more > 0 {
		_, _ = fmt.Fprintf(out, "and %d organisations whose share changes less\n", more)
	}
}

func shareText(s config.Share) string {
	if s.Tier == "" {
		return "-"
	}
	return fmt.Sprintf("%.2f%% of %s", 100*s.Share, s.Tier)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func printHistory(out io.Writer, versions []document.Version) error {
	w := newTable(out)
	_, _ = fmt.Fprintln(w, "GENERATION\tAUTHOR\tBYTES\tNOTE\tEDIT")
	for _, v := range versions {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\n", v.Generation, orDash(v.Author), v.Size, orDash(v.Note), v.Edit)
	}
	return w.Flush()
}

// ago rounds a time to what a reader needs.
func ago(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second))
	if d < time.Minute {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}
