package fleet

import (
	"strconv"
	"strings"

	"gopkg.in/yaml.v3"
)

// locator finds the line of a field by its path, when a problem is recorded.
type locator struct {
	root     *yaml.Node
	problems *collector
}

func (l *locator) fail(path, message, remedy string) {
	l.problems.add(SeverityError, l.line(path), path, message, remedy)
}

func (l *locator) warn(path, message, remedy string) {
	l.problems.add(SeverityWarning, l.line(path), path, message, remedy)
}

// line returns the line of the field at path or, if the file does not have it, that
// of the nearest enclosing field.
func (l *locator) line(path string) int {
	node, line := l.root, l.root.Line
	for _, step := range strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' }) {
		next, nextLine := child(node, step)
		if next == nil {
			return line
		}
		node, line = next, nextLine
	}
	return line
}

// child returns the value under a key or index, and the line to report for it.
func child(node *yaml.Node, step string) (*yaml.Node, int) {
	for node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	switch node.Kind {
	case yaml.SequenceNode:
		index, err := strconv.Atoi(step)
		if err != nil || index >= len(node.Content) {
			return nil, 0
		}
		return node.Content[index], node.Content[index].Line
	case yaml.MappingNode:
		for index := 0; index+1 < len(node.Content); index += 2 {
			if node.Content[index].Value == step {
				return node.Content[index+1], node.Content[index].Line
			}
		}
	}
	return nil, 0
}
