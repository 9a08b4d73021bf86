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

// maxRows limits the rows shown; the remaining ones are only counted.
const maxRows = 200

// maxShareEffects limits the organisations shown; the remaining ones are only
// counted.
const maxShareEffects = 20

// print prints the effect of a plan. It returns ExitFailed if the changes would not
// be accepted.
func (p plan) print(out io.Writer) int {
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

func newTabWriter(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
}

// printCells prints a line for each cell of a changed row, and one line for each
// new or removed row.
func printCells(out io.Writer, cells []operatorapi.CellEffect) {
	w := newTabWriter(out)
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

// printRow prints a row. The first column is the key: it changes only if the whole
// row is new or removed.
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

// filledCells lists the cells of a new row that don't have the zero value.
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
	w := newTabWriter(out)
	_, _ = fmt.Fprintln(w, "ORGANISATION\tSHARE NOW\tSHARE THEN")
	for _, effect := range effects[:min(len(effects), maxShareEffects)] {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", effect.Organisation, shareText(effect.Before), shareText(effect.After))
	}
	_ = w.Flush()
	if more := len(effects) - maxShareEffects; more > 0 {
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
	w := newTabWriter(out)
	_, _ = fmt.Fprintln(w, "GENERATION\tAUTHOR\tBYTES\tNOTE\tEDIT")
	for _, v := range versions {
		_, _ = fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\n", v.Generation, orDash(v.Author), v.Size, orDash(v.Note), v.Edit)
	}
	return w.Flush()
}

// formatAge formats a duration, rounded to 100 ms below a minute and to seconds
// from there.
func formatAge(seconds float64) string {
	d := time.Duration(seconds * float64(time.Second))
	if d < time.Minute {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Second).String()
}
