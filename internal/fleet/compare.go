package fleet

import (
	"fmt"
	"io"
	"reflect"
	"strings"
	"text/tabwriter"
)

// Action is what an apply would do to one entry of a file.
type Action string

const (
	// ActionAdd is an entry that only the new file has.
	ActionAdd Action = "add"
	// ActionRemove is an entry that only the old file has.
	ActionRemove Action = "remove"
	// ActionChange is an entry whose fields differ.
	ActionChange Action = "change"
)

// FieldChange is one field that differs.
type FieldChange struct {
	// Field is the field's name in the file.
	Field string `json:"field"`
	// Old and New are the values for display. Key hashes are shortened.
	Old string `json:"old"`
	New string `json:"new"`
}

// Change is what an apply would do to one entry.
type Change struct {
	// Section is the file's section, for example "tenants".
	Section string `json:"section"`
	// Name is the entry's name, empty for the document itself.
	Name   string `json:"name,omitempty"`
	Action Action `json:"action"`
	// Fields lists the differing fields of an ActionChange.
	Fields []FieldChange `json:"fields,omitempty"`
}

// Difference is what applying a new file would change, in its order, with removals
// last in each section.
type Difference struct {
	Changes []Change `json:"changes"`
}

// Empty reports whether the two files are equivalent.
func (d Difference) Empty() bool { return len(d.Changes) == 0 }

// Compare returns what applying next would change while current is in force; a nil
// current is an empty fleet. Both documents must be normalised.
func Compare(current, next *Document) Difference {
	if current == nil {
		current = &Document{}
	}
	difference := Difference{Changes: []Change{}}
	oldValue, newValue := reflect.ValueOf(current).Elem(), reflect.ValueOf(next).Elem()
	var documentFields []FieldChange
	for index := range newValue.NumField() {
		field := newValue.Type().Field(index)
		if field.Type.Kind() == reflect.Slice {
			difference.compareSection(yamlName(field), oldValue.Field(index), newValue.Field(index))
			continue
		}
		documentFields = appendFieldChange(documentFields, yamlName(field), oldValue.Field(index), newValue.Field(index))
	}
	if len(documentFields) > 0 {
		difference.Changes = append([]Change{{Section: "document", Action: ActionChange, Fields: documentFields}}, difference.Changes...)
	}
	return difference
}

// compareSection compares two lists of structs that have a Name.
func (d *Difference) compareSection(section string, oldList, newList reflect.Value) {
	oldByName := indexByName(oldList)
	newByName := indexByName(newList)
	for index := range newList.Len() {
		entry := newList.Index(index)
		name := nameOf(entry)
		before, existed := oldByName[name]
		if !existed {
			d.Changes = append(d.Changes, Change{Section: section, Name: name, Action: ActionAdd})
			continue
		}
		if fields := compareFields(before, entry); len(fields) > 0 {
			d.Changes = append(d.Changes, Change{Section: section, Name: name, Action: ActionChange, Fields: fields})
		}
	}
	for index := range oldList.Len() {
		name := nameOf(oldList.Index(index))
		if _, remains := newByName[name]; !remains {
			d.Changes = append(d.Changes, Change{Section: section, Name: name, Action: ActionRemove})
		}
	}
}

func indexByName(list reflect.Value) map[string]reflect.Value {
	index := make(map[string]reflect.Value, list.Len())
	for position := range list.Len() {
		index[nameOf(list.Index(position))] = list.Index(position)
	}
	return index
}

func nameOf(entry reflect.Value) string { return entry.FieldByName("Name").String() }

func compareFields(before, after reflect.Value) []FieldChange {
	var fields []FieldChange
	for index := range after.NumField() {
		fields = appendFieldChange(fields, yamlName(after.Type().Field(index)), before.Field(index), after.Field(index))
	}
	return fields
}

func appendFieldChange(fields []FieldChange, name string, before, after reflect.Value) []FieldChange {
	if before.Kind() == reflect.Slice && before.Len() == 0 && after.Len() == 0 {
		return fields
	}
	if reflect.DeepEqual(before.Interface(), after.Interface()) {
		return fields
	}
	return append(fields, FieldChange{Field: name, Old: describeValue(name, before), New: describeValue(name, after)})
}

// shownHashDigits is how many digits of a key hash are shown, to distinguish keys.
const shownHashDigits = 8

func describeValue(field string, value reflect.Value) string {
	switch entries := value.Interface().(type) {
	case []string:
		shown := make([]string, 0, len(entries))
		for _, entry := range entries {
			if field == "keyHashes" {
				entry = entry[:min(len(entry), shownHashDigits)]
			}
			shown = append(shown, entry)
		}
		return strings.Join(shown, ", ")
	case Objective:
		return fmt.Sprintf("recomputationWeight %g", entries.RecomputationWeight)
	case []Route:
		shown := make([]string, 0, len(entries))
		for _, route := range entries {
			shown = append(shown, describeRoute(route))
		}
		return strings.Join(shown, ", ")
	}
	if value.Kind() == reflect.Slice {
		return strings.Trim(fmt.Sprint(value.Interface()), "[]")
	}
	return fmt.Sprint(value.Interface())
}

func describeRoute(route Route) string {
	if route.Retryable {
		return route.Method + " " + route.Path + " (repeatable)"
	}
	return route.Method + " " + route.Path
}

// WriteTable writes the difference as a table.
func (d Difference) WriteTable(writer io.Writer) error {
	if d.Empty() {
		_, err := fmt.Fprintln(writer, "no difference")
		return err
	}
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ACTION\tSECTION\tNAME\tFIELD\tOLD\tNEW")
	for _, change := range d.Changes {
		if len(change.Fields) == 0 {
			fmt.Fprintf(table, "%s\t%s\t%s\n", change.Action, change.Section, change.Name)
		}
		for _, field := range change.Fields {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\n", change.Action, change.Section, change.Name, field.Field, field.Old, field.New)
		}
	}
	return table.Flush()
}
