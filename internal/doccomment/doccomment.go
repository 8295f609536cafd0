// Package doccomment extracts doc comments from Go source, for generated reference
// pages and flag usages.
package doccomment

import (
	"go/ast"
	"go/parser"
	"go/token"
	"reflect"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Field is one field of a struct.
type Field struct {
	Name string
	// Type is the type as written in the source, such as "[]ident.Zone".
	Type string
	Tag  reflect.StructTag
	// Doc is the doc comment in the form returned by Meaning.
	Doc string
}

// Struct is one struct type.
type Struct struct {
	Name   string
	Doc    string
	Fields []Field
}

// Constant is one typed string constant.
type Constant struct {
	Name  string
	Type  string
	Value string
	Doc   string
}

// Source holds the declarations of one file in their order.
type Source struct {
	Structs   []Struct
	Constants []Constant
}

// Parse reads one Go file.
func Parse(text []byte) (*Source, error) {
	file, err := parser.ParseFile(token.NewFileSet(), "", text, parser.ParseComments)
	if err != nil {
		return nil, errors.Wrap(err, "parsing the Go source")
	}
	source := &Source{}
	for _, declaration := range file.Decls {
		general, isGeneral := declaration.(*ast.GenDecl)
		if !isGeneral {
			continue
		}
		for _, specification := range general.Specs {
			source.add(general, specification)
		}
	}
	return source, nil
}

func (s *Source) add(declaration *ast.GenDecl, specification ast.Spec) {
	switch spec := specification.(type) {
	case *ast.TypeSpec:
		structure, isStruct := spec.Type.(*ast.StructType)
		if !isStruct {
			return
		}
		found := Struct{Name: spec.Name.Name, Doc: Meaning(spec.Name.Name, declaration.Doc.Text())}
		for _, field := range structure.Fields.List {
			found.Fields = append(found.Fields, fieldOf(field)...)
		}
		s.Structs = append(s.Structs, found)
	case *ast.ValueSpec:
		s.addConstant(spec)
	}
}

func (s *Source) addConstant(spec *ast.ValueSpec) {
	if spec.Type == nil || len(spec.Values) != 1 {
		return
	}
	literal, isLiteral := spec.Values[0].(*ast.BasicLit)
	if !isLiteral || literal.Kind != token.STRING {
		return
	}
	value, err := strconv.Unquote(literal.Value)
	if err != nil {
		return
	}
	name := spec.Names[0].Name
	s.Constants = append(s.Constants, Constant{name, typeText(spec.Type), value, Meaning(name, spec.Doc.Text())})
}

func fieldOf(field *ast.Field) []Field {
	var tag reflect.StructTag
	if field.Tag != nil {
		tag = reflect.StructTag(strings.Trim(field.Tag.Value, "`"))
	}
	var fields []Field
	for _, name := range field.Names {
		fields = append(fields, Field{name.Name, typeText(field.Type), tag, Meaning(name.Name, field.Doc.Text())})
	}
	return fields
}

// typeText returns the source text of the types that schemas use, "" for others.
func typeText(expression ast.Expr) string {
	switch written := expression.(type) {
	case *ast.Ident:
		return written.Name
	case *ast.SelectorExpr:
		return typeText(written.X) + "." + written.Sel.Name
	case *ast.ArrayType:
		return "[]" + typeText(written.Elt)
	default:
		return ""
	}
}

// Struct returns the struct with the given name.
func (s *Source) Struct(name string) (Struct, bool) {
	for _, structure := range s.Structs {
		if structure.Name == name {
			return structure, true
		}
	}
	return Struct{}, false
}

// Meaning removes the Go name from a doc comment and joins its lines: "Zone is the
// zone ..." becomes "The zone ...".
func Meaning(name, comment string) string {
	text := strings.Join(strings.Fields(comment), " ")
	text = strings.TrimPrefix(text, name+" ")
	text = strings.TrimPrefix(text, "is ")
	if text == "" {
		return text
	}
	return strings.ToUpper(text[:1]) + text[1:]
}
