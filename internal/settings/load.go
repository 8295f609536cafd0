package settings

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/pflag"
	"gopkg.in/yaml.v3"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// Load reads the settings file at path, overrides it with the flags and checks
// the result. An empty path means flags only; flags may be nil. The error is a
// fault of kind InvalidSettings that lists every problem with its origin: the
// line of the file, the flag, or "not set".
func Load(path string, flags *pflag.FlagSet) (*Settings, error) {
	settings := Default()
	reader := &reader{origins: map[string]string{}}
	if path != "" {
		source, err := os.ReadFile(path)
		if err != nil {
			return nil, fault.Wrap(err, fault.InvalidSettings, "the settings file %s cannot be read", path)
		}
		reader.readFile(source, &settings)
	}
	if flags != nil {
		reader.readFlags(flags, &settings)
	}
	settings.fillAddresses()
	reader.validate(&settings)
	if len(reader.problems) > 0 {
		return nil, fault.New(fault.InvalidSettings, "%d problem(s) in the settings %s: %s",
			len(reader.problems), path, strings.Join(reader.problems, "; "))
	}
	return &settings, nil
}

// fillAddresses defaults the advertised addresses to the listen addresses.
func (s *Settings) fillAddresses() {
	if s.Advertise == "" {
		s.Advertise = s.Listen
	}
	if s.GossipAdvertise == "" {
		s.GossipAdvertise = s.GossipListen
	}
}

// reader collects the origins of values and all problems.
type reader struct {
	// origins holds "line 3" or "flag --zone" by setting path.
	origins  map[string]string
	problems []string
}

func (r *reader) addProblem(origin, path, format string, arguments ...any) {
	r.problems = append(r.problems, origin+": "+path+": "+fmt.Sprintf(format, arguments...))
}

func (r *reader) readFile(source []byte, settings *Settings) {
	decoder := yaml.NewDecoder(bytes.NewReader(source))
	var document yaml.Node
	if err := decoder.Decode(&document); err != nil {
		if !errors.Is(err, io.EOF) {
			r.addProblem("file", "YAML", "%v", err)
		}
		return
	}
	if err := decoder.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		r.addProblem("file", "YAML", "contains more than one document")
	}
	r.readMapping("", document.Content[0], reflect.ValueOf(settings).Elem())
}

func (r *reader) readMapping(path string, node *yaml.Node, target reflect.Value) {
	if node.Kind != yaml.MappingNode {
		r.addProblem(lineOf(node), pathOrFile(path), "must be a mapping of settings")
		return
	}
	present := map[string]bool{}
	for index := 0; index+1 < len(node.Content); index += 2 {
		name, value := node.Content[index], node.Content[index+1]
		child := joinPath(path, name.Value)
		field, known := fieldByName(target, name.Value)
		switch {
		case !known:
			r.addProblem(lineOf(name), child, "unknown setting")
		case present[name.Value]:
			r.addProblem(lineOf(name), child, "is set twice")
		case field.Kind() == reflect.Struct:
			r.readMapping(child, value, field)
		default:
			r.readLeaf(child, lineOf(value), value, field)
		}
		present[name.Value] = true
	}
}

func (r *reader) readLeaf(path, origin string, node *yaml.Node, target reflect.Value) {
	r.origins[path] = origin
	if node.Tag == "!!null" {
		r.addProblem(origin, path, "has no value")
		return
	}
	if err := node.Decode(target.Addr().Interface()); err != nil {
		r.addProblem(origin, path, "%q is not a %s", node.Value, typeName(target))
	}
}

// joinPath returns the path of a setting below another, for example
// "limits.maxBodyBytes".
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func pathOrFile(path string) string {
	if path == "" {
		return "the file"
	}
	return path
}

func lineOf(node *yaml.Node) string { return fmt.Sprintf("line %d", node.Line) }

func fieldByName(target reflect.Value, name string) (reflect.Value, bool) {
	for index := range target.NumField() {
		if tag := target.Type().Field(index).Tag.Get("yaml"); tag != "" && tag == name {
			return target.Field(index), true
		}
	}
	return reflect.Value{}, false
}

// typeName returns the type of a leaf for error messages.
func typeName(target reflect.Value) string {
	switch target.Interface().(type) {
	case []string:
		return "list of texts"
	case string:
		return "text"
	case float64:
		return "number"
	case int, int64:
		return "whole number"
	default:
		return "duration such as 250ms, 2s or 5m"
	}
}
