package loader

import (
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// lineOf returns the line of a field such as target.kind or standin.vms[2].zone. For a field that is not there it
// returns the line of the nearest part of its path that is.
func lineOf(root *yaml.Node, field string) int {
	node := root
	if node.Kind == yaml.DocumentNode && len(node.Content) > 0 {
		node = node.Content[0]
	}
	line := max(node.Line, 1)
	for _, step := range strings.Split(field, ".") {
		name, index, indexed := strings.Cut(strings.TrimSuffix(step, "]"), "[")
		if node = child(node, name); node == nil {
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

func child(node *yaml.Node, name string) *yaml.Node {
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
