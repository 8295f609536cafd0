package settings

import (
	"reflect"
	"strings"
	"unicode"

	"github.com/spf13/pflag"
	"gopkg.in/yaml.v3"
)

// RegisterFlags adds one flag for each setting. A flag that is given overrides
// the settings file.
func RegisterFlags(flags *pflag.FlagSet) {
	defaults := Default()
	eachLeaf("", reflect.ValueOf(&defaults).Elem(), func(path string, leaf reflect.Value) {
		usage := fieldUsages[path]
		if leaf.Kind() == reflect.Slice {
			flags.StringSlice(FlagName(path), nil, usage)
			return
		}
		flags.String(FlagName(path), "", usage)
	})
}

// FlagName returns the flag name of a setting, such as "limits-max-body-bytes"
// for "limits.maxBodyBytes".
func FlagName(path string) string {
	var name strings.Builder
	for _, letter := range path {
		switch {
		case letter == '.':
			name.WriteByte('-')
		case unicode.IsUpper(letter):
			name.WriteByte('-')
			name.WriteRune(unicode.ToLower(letter))
		default:
			name.WriteRune(letter)
		}
	}
	return name.String()
}

func (r *reader) readFlags(flags *pflag.FlagSet, settings *Settings) {
	eachLeaf("", reflect.ValueOf(settings).Elem(), func(path string, leaf reflect.Value) {
		name := FlagName(path)
		flag := flags.Lookup(name)
		if flag == nil || !flag.Changed {
			return
		}
		node := &yaml.Node{Kind: yaml.ScalarNode, Value: flag.Value.String()}
		if leaf.Kind() == reflect.String {
			node.Tag = "!!str"
		}
		if list, isList := flag.Value.(pflag.SliceValue); isList {
			node = sequenceOf(list.GetSlice())
		}
		r.readLeaf(path, "flag --"+name, node, leaf)
	})
}

func sequenceOf(values []string) *yaml.Node {
	sequence := &yaml.Node{Kind: yaml.SequenceNode, Tag: "!!seq"}
	for _, value := range values {
		sequence.Content = append(sequence.Content, &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: value})
	}
	return sequence
}

// eachLeaf calls visit for every setting below target, in field order.
func eachLeaf(path string, target reflect.Value, visit func(path string, leaf reflect.Value)) {
	for index := range target.NumField() {
		tag := target.Type().Field(index).Tag.Get("yaml")
		if tag == "" {
			continue
		}
		child := joinPath(path, tag)
		if target.Field(index).Kind() == reflect.Struct {
			eachLeaf(child, target.Field(index), visit)
			continue
		}
		visit(child, target.Field(index))
	}
}
