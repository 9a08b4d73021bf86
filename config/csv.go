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

// LoadCSV reads a table from one file for each kind of row, such as tiers.csv.
// Files as spreadsheet programs save them are read too: with a byte order mark,
// with semicolons, with empty rows at the end. Every cell that is not of its
// column's type is a problem, as are files and columns that are missing or
// unknown. The table is not validated.
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

// fileName is the CSV file of a kind of row.
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

// readRecords returns the records of a file, its header first, without empty
// ones. A separator other than the comma is told by the header.
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
		return nil, errors.New("the file has no header")
	}
	return records, nil
}

func separatorOf(data []byte) rune {
	first, _, _ := bytes.Cut(data, []byte("\n"))
	for _, separator := range []byte{',', ';', '\t'} {
		if bytes.IndexByte(first, separator) >= 0 {
			return rune(separator)
		}
	}
	return ','
}

// checkRecords compares header and cells with the columns of the row type.
func checkRecords[T any](kind Kind, records [][]string) Problems {
	var problems Problems
	columns := columnsOf[T]()
	head := records[0]
	at := make([]*column, len(head))
	for i, name := range head {
		index := slices.IndexFunc(columns, func(c column) bool { return c.name == name })
		switch {
		case index < 0:
			problems = append(problems, Problem{Kind: kind, Column: name, Reason: "there is no such column"})
		case slices.Index(head, name) < i:
			problems = append(problems, Problem{Kind: kind, Column: name, Reason: "the column is there twice"})
		default:
			at[i] = &columns[index]
		}
	}
	for _, c := range columns {
		if !slices.Contains(head, c.name) {
			problems = append(problems, Problem{Kind: kind, Column: c.name, Reason: "the column is missing"})
		}
	}
	for row, record := range records[1:] {
		problems = append(problems, checkCells(kind, row+1, record, at)...)
	}
	return problems
}

func checkCells(kind Kind, row int, record []string, at []*column) Problems {
	var problems Problems
	for i, cell := range record {
		if i >= len(at) {
			problems = append(problems, Problem{Kind: kind, Row: row, Key: record[0], Value: cell, Reason: "the row has more cells than the header"})
			break
		}
		if at[i] == nil {
			continue
		}
		if reason := at[i].refuse(cell); reason != "" {
			problems = append(problems, Problem{Kind: kind, Row: row, Key: record[0], Column: at[i].name, Value: cell, Reason: reason})
		}
	}
	return problems
}

// refuse says why a cell is not of the column's type; empty if it is. An empty
// cell is zero.
func (c *column) refuse(cell string) string {
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
	return "must be a whole number without separators"
}

// recordReader gives records that were read before to gocsv.
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

// WriteCSV writes one file for each kind of row into a directory, which it makes
// if need be.
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
