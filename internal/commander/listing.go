package commander

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Listing is the result of a command: rows and notes for the table format, and the same data as a value for JSON and
// YAML. It is immutable.
type Listing struct {
	columns []string
	rows    [][]string
	notes   []string
	value   any
	code    Code
}

// Column is one column of a listing of values of type T.
type Column[T any] struct {
	Name string
	Text func(T) string
}

// NewListing returns a listing with a row for each of values.
func NewListing[T any](values []T, columns ...Column[T]) Listing {
	l := Listing{value: values}
	if values == nil {
		l.value = []T{}
	}
	for _, c := range columns {
		l.columns = append(l.columns, c.Name)
	}
	for _, v := range values {
		row := make([]string, 0, len(columns))
		for _, c := range columns {
			row = append(row, c.Text(v))
		}
		l.rows = append(l.rows, row)
	}
	return l
}

// NewObjectListing returns a listing of JSON objects whose fields are not known in advance. The columns are the fields of
// all objects: those that identify an object first, then the others in alphabetical order.
func NewObjectListing(objects []map[string]any) Listing {
	names := make(map[string]bool)
	for _, o := range objects {
		for k := range o {
			names[k] = true
		}
	}
	order := slices.SortedFunc(maps.Keys(names), func(a, b string) int {
		return cmp.Or(cmp.Compare(columnRank(a), columnRank(b)), cmp.Compare(a, b))
	})
	columns := make([]Column[map[string]any], 0, len(order))
	for _, name := range order {
		columns = append(columns, Column[map[string]any]{Name: name, Text: func(o map[string]any) string { return cellText(o[name]) }})
	}
	return NewListing(objects, columns...)
}

// WithNotes returns a copy of l with further lines that follow the table.
func (l Listing) WithNotes(notes ...string) Listing {
	l.notes = append(slices.Clone(l.notes), notes...)
	return l
}

// WithValue returns a copy of l whose JSON and YAML output is v.
func (l Listing) WithValue(v any) Listing {
	l.value = v
	return l
}

// WithCode returns a copy of l after whose output mimosactl exits with a code.
func (l Listing) WithCode(c Code) Listing {
	l.code = c
	return l
}

// columnName is the header of the column with the name of an object.
const columnName = "name"

// columnRank returns the sort position of a column. Columns that identify an object precede the others.
func columnRank(column string) int {
	first := []string{columnName, "target", "team", "window", "zone", "service"}
	if i := slices.Index(first, column); i >= 0 {
		return i
	}
	return len(first)
}

// cellText formats a JSON value for a table.
func cellText(v any) string {
	switch v := v.(type) {
	case nil:
		return "-"
	case string:
		return v
	case float64, bool, json.Number:
		return fmt.Sprint(v)
	default:
		data, err := json.Marshal(v)
		if err != nil {
			return fmt.Sprint(v)
		}
		return string(data)
	}
}
