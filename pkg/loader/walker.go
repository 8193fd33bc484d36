package loader

import (
	"errors"
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// walker compares the nodes of a YAML file with the Go type that they are decoded into. The types are not recursive,
// so the walk ends even when an alias refers to a node that contains it.
type walker struct {
	lines    Lines
	problems []Problem
}

func typeOf[T any]() reflect.Type { return reflect.TypeFor[T]() }

func (w *walker) add(node *yaml.Node, path, want string) {
	if path == "" {
		path = "YAML"
	}
	w.problems = append(w.problems, Problem{File: w.lines.file, Line: node.Line, Field: path, Want: want})
}

func (w *walker) walk(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if node.Tag == "!!null" {
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		w.walkFields(node, t, path)
	case reflect.Slice:
		if node.Kind != yaml.SequenceNode {
			w.add(node, path, "a list")
			return
		}
		for i, item := range node.Content {
			w.walk(item, t.Elem(), path+"["+strconv.Itoa(i)+"]")
		}
	default:
		w.checkScalar(node, t, path)
	}
}

func (w *walker) walkFields(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind != yaml.MappingNode {
		w.add(node, path, "a mapping")
		return
	}
	known := fieldTypes(t)
	seen := make(map[string]bool)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		field := strings.TrimPrefix(path+"."+key.Value, ".")
		ft, ok := known[key.Value]
		switch {
		case !ok:
			w.add(key, field, "one of the fields "+fieldNames(t))
		case seen[key.Value]:
			w.add(key, field, "a field that occurs once")
		default:
			w.walk(node.Content[i+1], ft, field)
		}
		seen[key.Value] = true
	}
}

func (w *walker) checkScalar(node *yaml.Node, t reflect.Type, path string) {
	if node.Kind != yaml.ScalarNode {
		w.add(node, path, wantScalar(t))
		return
	}
	err := node.Decode(reflect.New(t).Interface())
	var field *fieldError
	switch {
	case errors.As(err, &field):
		w.add(node, path, field.want)
	case err != nil:
		w.add(node, path, wantScalar(t))
	}
}

// wantScalar returns the Want text of a problem in a field of scalar type t.
func wantScalar(t reflect.Type) string {
	if t == typeOf[Duration]() {
		return wantDuration
	}
	switch t.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint64:
		return "an integer"
	case reflect.Float64:
		return "a number"
	default:
		return "a string"
	}
}

func fieldTypes(t reflect.Type) map[string]reflect.Type {
	known := make(map[string]reflect.Type)
	for f := range t.Fields() {
		known[fieldName(f)] = f.Type
	}
	return known
}

func fieldNames(t reflect.Type) string {
	names := make([]string, 0, t.NumField())
	for f := range t.Fields() {
		if name := fieldName(f); name != "-" {
			names = append(names, name)
		}
	}
	return strings.Join(names, ", ")
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}
