package config

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/gocarina/gocsv"
)

// LoadCSV reads a table from one file per kind of row, such as tiers.csv. It
// accepts the variants that spreadsheet programs write: a byte order mark, semicolons
// or tabs as separators, and empty rows at the end. Missing files, missing, unknown
// or duplicate columns, and cells that do not have their column's type are reported
// as Problems. The table is not validated.
func LoadCSV(files fs.FS) (Table, error) {
	var t Table
	var problems Problems
	loadKind(files, KindTiers, &t.Tiers, &problems)
	loadKind(files, KindOrganisations, &t.Organisations, &problems)
	loadKind(files, KindModels, &t.Models, &problems)
	loadKind(files, KindServices, &t.Services, &problems)
	loadKind(files, KindEndpoints, &t.Endpoints, &problems)
	return t, problems.Err()
}

// fileName returns the name of the CSV file of a kind of row.
func fileName(kind Kind) string { return string(kind) + ".csv" }

func loadKind[T any](files fs.FS, kind Kind, rows *[]T, problems *Problems) {
	data, err := fs.ReadFile(files, fileName(kind))
	if err != nil {
		*problems = append(*problems, Problem{Kind: kind, Reason: fmt.Sprintf("%s can't be read: %s", fileName(kind), err)})
		return
	}
	records, err := readRecords(data)
	if err != nil {
		*problems = append(*problems, Problem{Kind: kind, Reason: err.Error()})
		return
	}
	found := checkRecords[T](kind, records)
	*problems = append(*problems, found...)
	if len(found) > 0 || len(records) < 2 {
		return
	}
	if err := gocsv.UnmarshalCSV(&recordReader{records: records}, rows); err != nil {
		*problems = append(*problems, Problem{Kind: kind, Reason: err.Error()})
	}
}

// readRecords returns the non-empty records of a file, header first. The separator
// is detected from the header line.
func readRecords(data []byte) ([][]string, error) {
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	reader := csv.NewReader(bytes.NewReader(data))
	reader.Comma = separatorOf(data)
	reader.FieldsPerRecord = -1
	var records [][]string
	for {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		for i := range record {
			record[i] = strings.TrimSpace(record[i])
		}
		if slices.ContainsFunc(record, func(cell string) bool { return cell != "" }) {
			records = append(records, record)
		}
	}
	if len(records) == 0 {
		return nil, errors.New("the file has no header row")
	}
	return records, nil
}

// separatorOf returns the first of comma, semicolon and tab that occurs in the
// header line.
func separatorOf(data []byte) rune {
	first, _, _ := bytes.Cut(data, []byte("\n"))
	for _, separator := range []byte{',', ';', '\t'} {
		if bytes.IndexByte(first, separator) >= 0 {
			return rune(separator)
		}
	}
	return ','
}

// checkRecords checks the header and the cells against the columns of the row type.
func checkRecords[T any](kind Kind, records [][]string) Problems {
	var problems Problems
	columns := columnsOf[T]()
	headerRow := records[0]
	columnOf := make([]*column, len(headerRow))
	for i, name := range headerRow {
		index := slices.IndexFunc(columns, func(c column) bool { return c.name == name })
		switch {
		case index < 0:
			problems = append(problems, Problem{Kind: kind, Column: name, Reason: "unknown column"})
		case slices.Index(headerRow, name) < i:
			problems = append(problems, Problem{Kind: kind, Column: name, Reason: "duplicate column"})
		default:
			columnOf[i] = &columns[index]
		}
	}
	for _, c := range columns {
		if !slices.Contains(headerRow, c.name) {
			problems = append(problems, Problem{Kind: kind, Column: c.name, Reason: "missing column"})
		}
	}
	for row, record := range records[1:] {
		problems = append(problems, checkCells(kind, row+1, record, columnOf)...)
	}
	return problems
}

func checkCells(kind Kind, row int, record []string, columnOf []*column) Problems {
	var problems Problems
	for i, cell := range record {
		if i >= len(columnOf) {
			problems = append(problems, Problem{Kind: kind, Row: row, Key: record[0], Value: cell, Reason: "the row has more cells than the header"})
			break
		}
		if columnOf[i] == nil {
			continue
		}
		if reason := columnOf[i].typeMismatch(cell); reason != "" {
			problems = append(problems, Problem{Kind: kind, Row: row, Key: record[0], Column: columnOf[i].name, Value: cell, Reason: reason})
		}
	}
	return problems
}

// typeMismatch returns the reason why a cell does not have the column's type, or
// "" if it does. An empty cell is the zero value.
func (c *column) typeMismatch(cell string) string {
	var err error
	switch {
	case cell == "":
	case c.kind == reflect.Int:
		_, err = strconv.ParseInt(cell, 10, 64)
	case c.kind == reflect.Uint8:
		_, err = strconv.ParseUint(cell, 10, 8)
	case c.kind == reflect.Bool:
		_, err = strconv.ParseBool(cell)
	}
	if err == nil {
		return ""
	}
	if c.kind == reflect.Bool {
		return "must be true or false"
	}
	return "must be an integer without separators"
}

// recordReader passes records that are already parsed to gocsv.
type recordReader struct{ records [][]string }

func (r *recordReader) Read() ([]string, error) {
	if len(r.records) == 0 {
		return nil, io.EOF
	}
	record := r.records[0]
	r.records = r.records[1:]
	return record, nil
}

func (r *recordReader) ReadAll() ([][]string, error) { return r.records, nil }

// WriteCSV writes one file per kind of row to a directory, which it creates if
// necessary.
func WriteCSV(directory string, t Table) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return fmt.Errorf("config: write CSV: %w", err)
	}
	sorted := t.Clone()
	sorted.Sort()
	return errors.Join(
		writeKind(directory, KindTiers, sorted.Tiers),
		writeKind(directory, KindOrganisations, sorted.Organisations),
		writeKind(directory, KindModels, sorted.Models),
		writeKind(directory, KindServices, sorted.Services),
		writeKind(directory, KindEndpoints, sorted.Endpoints),
	)
}

func writeKind[T any](directory string, kind Kind, rows []T) error {
	data, err := gocsv.MarshalBytes(rows)
	if err != nil {
		return fmt.Errorf("config: write CSV: %w", err)
	}
	if err := os.WriteFile(filepath.Join(directory, fileName(kind)), data, 0o644); err != nil {
		return fmt.Errorf("config: write CSV: %w", err)
	}
	return nil
}
