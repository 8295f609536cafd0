package reference

import (
	"bytes"
	"fmt"
	"strings"
	"unicode"

	"github.com/pkg/errors"

	"github.com/fieldpond/fieldpond/internal/doccomment"
)

const fleetHeader = `# The fleet file

Generated from internal/fleet/schema.go by "go generate ./internal/reference".

One YAML file describes a deployment: data residency, models, services, engines,
applications and tenants. It is checked, compared and applied as a whole:

    fieldpond check -f fleet.yaml
    fieldpond diff -f fleet.yaml --platform http://127.0.0.1:7000
    fieldpond apply -f fleet.yaml --platform http://127.0.0.1:7000

Unknown keys are errors. Durations are written as 250ms, 2s or 5m. Addresses are
IP addresses, so that routing needs no name service. Complete files are in
examples/. Beyond the rules in the tables, "fieldpond check" reports names that
are not declared, names declared twice, and tenants that no engine of their places
can serve.
`

// FleetFile returns the page of the fleet file's schema; source is the text
// of internal/fleet/schema.go.
func FleetFile(source []byte) ([]byte, error) {
	parsed, err := doccomment.Parse(source)
	if err != nil {
		return nil, err
	}
	var page bytes.Buffer
	page.WriteString(fleetHeader)
	if err := writeSection(&page, parsed, "Document", "the whole file"); err != nil {
		return nil, err
	}
	return page.Bytes(), nil
}

// writeSection writes the table of one struct, then those of its struct fields.
func writeSection(page *bytes.Buffer, source *doccomment.Source, name, path string) error {
	structure, found := source.Struct(name)
	if !found {
		return errors.Errorf("the schema has no struct %s", name)
	}
	fmt.Fprintf(page, "\n## %s\n\n%s\n\n| Key | Value | Needed | Meaning |\n|---|---|---|---|\n", path, structure.Doc)
	for _, field := range structure.Fields {
		fmt.Fprintf(page, "| `%s` | %s | %s | %s |\n", field.Tag.Get("yaml"), valueText(source, field), neededText(field), field.Doc)
	}
	for _, field := range structure.Fields {
		element := strings.TrimPrefix(field.Type, "[]")
		if _, isStruct := source.Struct(element); !isStruct {
			continue
		}
		if err := writeSection(page, source, element, subPath(path, field)); err != nil {
			return err
		}
	}
	return nil
}

func subPath(path string, field doccomment.Field) string {
	name := field.Tag.Get("yaml")
	if strings.HasPrefix(field.Type, "[]") {
		name += "[]"
	}
	if strings.HasPrefix(path, "the ") {
		return name
	}
	return path + "." + name
}

func neededText(field doccomment.Field) string {
	for _, rule := range rulesOf(field) {
		if rule == "required" {
			return "yes"
		}
	}
	return "no"
}

// rulesOf returns the validation rules of a field, without those of its elements.
func rulesOf(field doccomment.Field) []string {
	own, _, _ := strings.Cut(field.Tag.Get("validate"), ",dive")
	return strings.Split(own, ",")
}

// valueText describes the type of a value and its limits.
func valueText(source *doccomment.Source, field doccomment.Field) string {
	text := formText(source, field.Type)
	if element, isList := strings.CutPrefix(field.Type, "[]"); isList {
		text = "list of " + plural(formText(source, element))
	}
	for _, rule := range rulesOf(field) {
		name, limit, _ := strings.Cut(rule, "=")
		switch name {
		case "gte":
			text += ", at least " + limit
		case "lte":
			text += ", at most " + limit
		case "min":
			text += ", at least " + limit + " of them"
		case "oneof":
			text += ": " + strings.Join(strings.Fields(limit), ", ")
		}
	}
	return text
}

func formText(source *doccomment.Source, typeName string) string {
	switch typeName {
	case "int":
		return "whole number"
	case "float64":
		return "number"
	case "bool":
		return "true or false"
	case "time.Duration":
		return "duration"
	}
	if _, isStruct := source.Struct(typeName); isStruct {
		return "entry"
	}
	if short, named := strings.CutPrefix(typeName, "ident."); named {
		return nameForm(splitWords(short))
	}
	return "text"
}

// nameForm returns "name of a NOUN" or "name of an NOUN".
func nameForm(noun string) string {
	if strings.ContainsRune("aeiou", rune(noun[0])) {
		return "name of an " + noun
	}
	return "name of a " + noun
}

// plural returns the plural of a result of formText.
func plural(form string) string {
	switch {
	case form == "entry":
		return "entries"
	case strings.HasPrefix(form, "name of "):
		_, noun, _ := strings.Cut(strings.TrimPrefix(form, "name of "), " ")
		return noun + " names"
	default:
		return form
	}
}

// splitWords converts "ModelVersion" to "model version".
func splitWords(name string) string {
	var text strings.Builder
	for index, letter := range name {
		if unicode.IsUpper(letter) && index > 0 {
			text.WriteByte(' ')
		}
		text.WriteRune(unicode.ToLower(letter))
	}
	return text.String()
}
