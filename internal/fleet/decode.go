package fleet

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"

	"gopkg.in/yaml.v3"
)

// maxInterned is the length in bytes up to which equal strings share memory.
const maxInterned = 40

var durationType = reflect.TypeOf(time.Duration(0))

// zeroMeansDefault maps the fields whose zero means "not given" to a small positive
// value. An explicit 0 is refused, since it would be read as the default.
var zeroMeansDefault = map[string]string{
	"maxHold":               "1ms",
	"deadline":              "1ms",
	"blockTokens":           "16",
	"prefillMicrosPerToken": "0.001",
	"share":                 "0.001",
}

// decoder turns YAML nodes into the schema's structs. It continues after a problem,
// and descends only as deep as the schema, so that cyclic aliases end.
type decoder struct {
	problems *collector
	budget   int
	path     fieldPath
	interned map[string]string
}

// decode sets target, a field or element of the document, from node.
func (d *decoder) decode(node *yaml.Node, target reflect.Value) {
	for node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	d.budget--
	if d.budget < 0 {
		d.exceedBudget(node)
		return
	}
	switch {
	case node.Kind == yaml.ScalarNode && node.ShortTag() == "!!null":
		d.fail(node, "has no value", "give a value or omit the key")
	case target.Type() == durationType:
		d.decodeDuration(node, target)
	case target.Kind() == reflect.Struct:
		d.decodeStruct(node, target)
	case target.Kind() == reflect.Slice:
		d.decodeSlice(node, target)
	default:
		d.decodeScalar(node, target)
	}
}

// exceedBudget ends decoding of a file that expands into more than maxNodes nodes.
func (d *decoder) exceedBudget(node *yaml.Node) {
	d.budget = -1
	d.problems.add(SeverityError, node.Line, "(file)", "expands into too many nodes", "use fewer aliases, or split the deployment")
}

func (d *decoder) fail(node *yaml.Node, message, remedy string) {
	d.problems.add(SeverityError, node.Line, d.path.String(), message, remedy)
}

func (d *decoder) decodeStruct(node *yaml.Node, target reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.fail(node, "is not a mapping", "write it as 'key: value' lines")
		return
	}
	fields := fieldsOf(target.Type())
	seen := make([]bool, target.NumField())
	for index := 0; index+1 < len(node.Content) && d.budget >= 0; index += 2 {
		key := node.Content[index]
		field, known := fields.byName[key.Value]
		d.path.pushKey(key.Value)
		switch {
		case key.Kind != yaml.ScalarNode || !known:
			d.fail(key, "is not a known key", "use one of: "+fields.names)
		case seen[field]:
			d.fail(key, "is given twice", "keep one of the two")
		default:
			seen[field] = true
			d.decode(node.Content[index+1], target.Field(field))
		}
		d.path.pop()
	}
}

func (d *decoder) decodeSlice(node *yaml.Node, target reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.fail(node, "is not a list", "write it as '- item' lines or as [a, b]")
		return
	}
	if len(node.Content) > d.budget {
		d.exceedBudget(node)
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(node.Content), len(node.Content)))
	for index, element := range node.Content {
		if d.budget < 0 {
			return
		}
		d.path.pushIndex(index)
		d.decode(element, target.Index(index))
		d.path.pop()
	}
}

func (d *decoder) decodeDuration(node *yaml.Node, target reflect.Value) {
	duration, err := time.ParseDuration(node.Value)
	if node.Kind != yaml.ScalarNode || err != nil {
		d.fail(node, "is not a duration", "write a number with its unit, for example 250ms, 2s or 1m")
		return
	}
	target.SetInt(int64(duration))
	d.rejectZero(node, duration == 0)
}

func (d *decoder) decodeScalar(node *yaml.Node, target reflect.Value) {
	if node.Kind != yaml.ScalarNode {
		d.fail(node, "is not a single value", "write one value after the colon")
		return
	}
	tag := node.ShortTag()
	switch target.Kind() {
	case reflect.String:
		d.decodeString(node, tag, target)
	case reflect.Bool:
		if tag != "!!bool" {
			d.fail(node, "is not true or false", "write true or false, without quotes")
			return
		}
		target.SetBool(strings.EqualFold(node.Value, "true"))
	case reflect.Int:
		number, err := strconv.ParseInt(node.Value, 10, 32)
		if tag != "!!int" || err != nil {
			d.fail(node, "is not a whole number", "write a whole number, without quotes")
			return
		}
		target.SetInt(number)
		d.rejectZero(node, number == 0)
	case reflect.Float64:
		number, err := strconv.ParseFloat(node.Value, 64)
		if (tag != "!!int" && tag != "!!float") || err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
			d.fail(node, "is not a number", "write a decimal number, without quotes")
			return
		}
		target.SetFloat(number)
		d.rejectZero(node, number == 0)
	}
}

func (d *decoder) decodeString(node *yaml.Node, tag string, target reflect.Value) {
	if tag != "!!str" && tag != "!!timestamp" {
		d.fail(node, "is not text", "put it in quotes")
		return
	}
	value := node.Value
	if len(value) <= maxInterned {
		if shared, found := d.interned[value]; found {
			value = shared
		} else {
			d.interned[value] = value
		}
	}
	target.SetString(value)
}

func (d *decoder) rejectZero(node *yaml.Node, zero bool) {
	if !zero {
		return
	}
	if smallest, listed := zeroMeansDefault[d.path.lastKey()]; listed {
		d.fail(node, "is 0, which would be read as the default", "omit the key for the default, or write a positive value such as "+smallest)
	}
}

// structFields maps the keys of a mapping to the fields of a struct.
type structFields struct {
	byName map[string]int
	names  string
}

var fieldCache sync.Map

func fieldsOf(kind reflect.Type) *structFields {
	if cached, found := fieldCache.Load(kind); found {
		return cached.(*structFields)
	}
	fields := &structFields{byName: map[string]int{}}
	names := make([]string, 0, kind.NumField())
	for index := range kind.NumField() {
		name := yamlName(kind.Field(index))
		fields.byName[name] = index
		names = append(names, name)
	}
	fields.names = strings.Join(names, ", ")
	fieldCache.Store(kind, fields)
	return fields
}

func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

// fieldPath is the path from the document to a field.
type fieldPath struct{ segments []pathSegment }

// pathSegment is a key of a mapping or, with an empty key, an index of a list.
type pathSegment struct {
	key   string
	index int
}

func (p *fieldPath) pushKey(key string)  { p.segments = append(p.segments, pathSegment{key: key}) }
func (p *fieldPath) pushIndex(index int) { p.segments = append(p.segments, pathSegment{index: index}) }
func (p *fieldPath) pop()                { p.segments = p.segments[:len(p.segments)-1] }

func (p *fieldPath) lastKey() string {
	if len(p.segments) == 0 {
		return ""
	}
	return p.segments[len(p.segments)-1].key
}

// String returns the path in the form "tenants[3].places[0]".
func (p *fieldPath) String() string {
	if len(p.segments) == 0 {
		return "(file)"
	}
	var text strings.Builder
	for position, segment := range p.segments {
		switch {
		case segment.key == "":
			fmt.Fprintf(&text, "[%d]", segment.index)
		case position > 0:
			text.WriteString("." + shorten(segment.key))
		default:
			text.WriteString(shorten(segment.key))
		}
	}
	return text.String()
}

// maxQuoted is the longest part of the file that a message quotes, in bytes.
const maxQuoted = 60

func shorten(text string) string {
	if len(text) <= maxQuoted {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuoted], "") + "..."
}
