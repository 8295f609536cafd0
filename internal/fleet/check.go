package fleet

import (
	"fmt"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// maxNameBytes is the longest name in a fleet file.
const maxNameBytes = 128

// Message and remedy for an invalid key hash. The value itself is never quoted.
const (
	notAHash   = "is not a SHA-256 hash in hex"
	hashRemedy = "write the 64 hex digits that 'printf %s KEY | sha256sum' prints"
)

// tagChecker applies the validate tags of schema.go. It reports fields by their YAML
// names.
var tagChecker = newTagChecker()

func newTagChecker() *validator.Validate {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(yamlName)
	return checker
}

// checkDocument records everything that is wrong with a decoded document.
func checkDocument(document *Document, at *locator) {
	checkTags(document, at)
	if document.Schema != SchemaVersion {
		at.fail("schema", fmt.Sprintf("is %q, which this program does not read", shorten(document.Schema)), fmt.Sprintf("write %q, or use the fieldpond release that reads this schema", SchemaVersion))
	}
	names := collectNames(document, at)
	checkModels(document, at)
	checkServices(document, names, at)
	checkBackends(document, names, at)
	checkTenants(document, names, at)
}

func checkTags(document *Document, at *locator) {
	var found validator.ValidationErrors
	if !errors.As(tagChecker.Struct(document), &found) {
		return
	}
	for _, violation := range found {
		path := strings.TrimPrefix(violation.Namespace(), "Document.")
		message, remedy := describeViolation(violation)
		at.fail(path, message, remedy)
	}
}

// describeViolation returns message and remedy for a violated validate tag.
func describeViolation(violation validator.FieldError) (message, remedy string) {
	param := violation.Param()
	switch violation.Tag() {
	case "required":
		return "is missing or empty", "add it"
	case "min":
		return "has too few entries", "give at least " + param
	case "oneof":
		return fmt.Sprintf("is %q", shorten(fmt.Sprint(violation.Value()))), "write one of: " + strings.ReplaceAll(param, " ", ", ")
	case "gte":
		return "is too small", "write a value of at least " + param
	case "lte":
		return "is too large", "write a value of at most " + param
	case "startswith":
		return "does not start with " + param, "put " + param + " in front"
	case "len", "hexadecimal":
		return notAHash, hashRemedy
	}
	return "fails the rule " + violation.Tag(), "compare with examples/muldenring/fleet.yaml"
}

// validName reports whether a name is safe in URLs, table keys and metrics.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes || name[0] == '.' || name[0] == '-' {
		return false
	}
	for index := range len(name) {
		character := name[index]
		letter := character >= 'a' && character <= 'z' || character >= 'A' && character <= 'Z'
		digit := character >= '0' && character <= '9'
		if !letter && !digit && character != '.' && character != '-' && character != '_' {
			return false
		}
	}
	return true
}

// nameIndex maps the names of one section to their indexes.
type nameIndex[N ~string] map[N]int

// add records a definition; an invalid or repeated name is a problem.
func (n nameIndex[N]) add(at *locator, name N, index int, path func() string) {
	if !validName(string(name)) {
		at.fail(path(), fmt.Sprintf("is %q, which is not a valid name", shorten(string(name))), fmt.Sprintf("use 1 to %d letters, digits, '.', '-' and '_', starting with a letter, digit or '_'", maxNameBytes))
		return
	}
	if _, taken := n[name]; taken {
		at.fail(path(), fmt.Sprintf("repeats the name %q", name), "give each its own name")
		return
	}
	n[name] = index
}

// require records a problem unless the name is defined, and returns whether it is.
func (n nameIndex[N]) require(at *locator, name N, what string, path func() string) bool {
	if _, known := n[name]; known {
		return true
	}
	at.fail(path(), fmt.Sprintf("names the %s %q, which the file does not define", what, shorten(string(name))), fmt.Sprintf("define the %s or correct the name", what))
	return false
}

// checkDuplicates records a problem for each repeated entry of a list.
func checkDuplicates[N ~string](at *locator, list []N, path string) {
	seen := make(map[N]struct{}, len(list))
	for index, entry := range list {
		if _, repeated := seen[entry]; repeated {
			at.fail(fmt.Sprintf("%s[%d]", path, index), fmt.Sprintf("repeats %q", shorten(string(entry))), "remove the repeated entry")
		}
		seen[entry] = struct{}{}
	}
}

// pathf defers formatting a path until a problem needs it.
func pathf(format string, arguments ...any) func() string {
	return func() string { return fmt.Sprintf(format, arguments...) }
}
