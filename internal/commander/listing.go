package commander

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Listing is the result of a command: rows for people and the same facts as a value for programs. It is immutable.
type Listing struct {
	columns []string
	rows    [][]string
	notes   []string
	value   any
}

// Column is one column of a listing of Ts.
type Column[T any] struct {
	Name string
	Text func(T) string
}

// NewListing returns a listing of values.
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

// NewObjects returns a listing of JSON objects whose fields the command does not know. The columns are the fields of
// all objects: those that name something first, then the others in alphabetical order.
func NewObjects(objects []map[string]any) Listing {
	names := make(map[string]bool)
	for _, o := range objects {
		for k := range o {
			names[k] = true
		}
	}
	order := slices.SortedFunc(maps.Keys(names), func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	columns := make([]Column[map[string]any], 0, len(order))
	for _, name := range order {
		columns = append(columns, Column[map[string]any]{Name: name, Text: func(o map[string]any) string { return cell(o[name]) }})
	}
	return NewListing(objects, columns...)
}

// WithNotes returns a copy of l with lines that follow the table.
func (l Listing) WithNotes(notes ...string) Listing {
	l.notes = append(slices.Clone(l.notes), notes...)
	return l
}

// WithValue returns a copy of l whose form for programs is v.
func (l Listing) WithValue(v any) Listing {
	l.value = v
	return l
}

// columnName is the column that names a row.
const columnName = "name"

// rank orders the columns that name an object before the others.
func rank(column string) int {
	first := []string{columnName, "target", "team", "window", "zone", "service"}
	if i := slices.Index(first, column); i >= 0 {
		return i
	}
	return len(first)
}

// cell returns a JSON value as it stands in a table.
func cell(v any) string {
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
