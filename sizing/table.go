package sizing

import "strings"

// table is a Markdown table.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...string) {
	t.rows = append(t.rows, cells)
}

// String returns the table in Markdown.
func (t *table) String() string {
	var b strings.Builder
	writeRow(&b, t.header)
	b.WriteString(strings.Repeat("|---", len(t.header)) + "|\n")
	for _, row := range t.rows {
		writeRow(&b, row)
	}
	return b.String()
}

func writeRow(b *strings.Builder, cells []string) {
	for _, cell := range cells {
		b.WriteString("| " + strings.ReplaceAll(cell, "|", "\\|") + " ")
	}
	b.WriteString("|\n")
}
