package ctl

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"hawthornrill.example/hawthornrill/config"
	"hawthornrill.example/hawthornrill/document"
	"hawthornrill.example/hawthornrill/operatorapi"
)

// maxRows bounds the rows shown; the others are counted.
const maxRows = 200

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

// printCells shows changed rows cell by cell, and new and removed rows on a line
// each.
func printCells(out io.Writer, cells []operatorapi.CellEffect) {
	w := newTable(out)
	_, _ = fmt.Fprintln(w, "KIND\tROW\tCOLUMN\tNOW\tTHEN")
	rows := 0
	for len(cells) > 0 {
		row := firstRow(cells)
		cells = cells[len(row):]
		if rows++; rows <= maxRows {
			printRow(w, row)
		}
	}
	_ = w.Flush()
	if rows > maxRows {
		_, _ = fmt.Fprintf(out, "and %d more rows\n", rows-maxRows)
	}
}

// firstRow returns the cells of the first row.
func firstRow(cells []operatorapi.CellEffect) []operatorapi.CellEffect {
	first := cells[0]
	end := slices.IndexFunc(cells, func(c operatorapi.CellEffect) bool { return c.Kind != first.Kind || c.Key != first.Key })
	if end < 0 {
		return cells
	}
	return cells[:end]
}

// printRow shows a row. The first column is the key, which changes only with the
// whole row.
func printRow(w io.Writer, row []operatorapi.CellEffect) {
	first := row[0]
	switch {
	case first.Before == "" && first.After == first.Key:
		_, _ = fmt.Fprintf(w, "%s\t%s\tnew row\t-\t%s\n", first.Kind, first.Key, filledCells(row[1:]))
		return
	case first.After == "" && first.Before == first.Key:
		_, _ = fmt.Fprintf(w, "%s\t%s\tremoved\t\t-\n", first.Kind, first.Key)
		return
	}
	for _, cell := range row {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", cell.Kind, cell.Key, cell.Column, orDash(cell.Before), orDash(cell.After))
	}
}

// filledCells lists the cells of a new row that hold something.
func filledCells(cells []operatorapi.CellEffect) string {
	var filled []string
	for _, cell := range cells {
		if cell.After != "" && cell.After != "0" && cell.After != "false" {
			filled = append(filled, cell.Column+"="+cell.After)
		}
	}
	return strings.Join(filled, " ")
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
