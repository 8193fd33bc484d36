package loader

import (
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// lineOf returns the line of a field such as target.kind or standin.vms[2].zone. If the field is missing, it returns
// the line of the deepest part of its path that exists.
func lineOf(root *yaml.Node, field string) int {
	node := root
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	line := max(node.Line, 1)
	for _, segment := range strings.Split(field, ".") {
		name, index, indexed := strings.Cut(strings.TrimSuffix(segment, "]"), "[")
		if node = mappingValue(node, name); node == nil {
			return line
		}
		line = node.Line
		if !indexed {
			continue
		}
		i, err := strconv.Atoi(index)
		if err != nil || node.Kind != yaml.SequenceNode || i >= len(node.Content) {
			return line
		}
		node = node.Content[i]
		line = node.Line
	}
	return line
}

// mappingValue returns the value of the key name in a mapping node, or nil if there is none.
func mappingValue(node *yaml.Node, name string) *yaml.Node {
	if node.Kind != yaml.MappingNode {
		return nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return node.Content[i+1]
		}
	}
	return nil
}
