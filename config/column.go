package config

import (
	"fmt"
	"reflect"
)

// column describes one column of a row type.
type column struct {
	name  string
	index int
	kind  reflect.Kind
}

// columnsOf returns the columns of a row type in field order, named by the csv
// tags.
func columnsOf[T any]() []column {
	t := reflect.TypeFor[T]()
	columns := make([]column, 0, t.NumField())
	for i := range t.NumField() {
		field := t.Field(i)
		columns = append(columns, column{name: field.Tag.Get("csv"), index: i, kind: field.Type.Kind()})
	}
	return columns
}

// Cell is one column value of a row, formatted as text.
type Cell struct {
	Column string `json:"column"`
	Value  string `json:"value"`
}

// cellsOf returns the cells of a row in column order.
func cellsOf[T any](row T) []Cell {
	value := reflect.ValueOf(row)
	columns := columnsOf[T]()
	cells := make([]Cell, len(columns))
	for i, c := range columns {
		cells[i] = Cell{Column: c.name, Value: fmt.Sprint(value.Field(c.index).Interface())}
	}
	return cells
}
