// Package reference generates the pages of docs/reference about error kinds and
// the fleet file. Settings and metrics have generators in their own packages.
package reference

//go:generate go run ./gen

import (
	"bytes"
	"fmt"

	"github.com/fieldpond/fieldpond/internal/doccomment"
	"github.com/fieldpond/fieldpond/internal/fault"
)

const errorsHeader = `# Error kinds

Generated from internal/fault by "go generate ./internal/reference".

Callers get an error as JSON with the HTTP status of its kind; docs/reference/api.md
shows the format. The programs print kind, message and remedy in one line and end
with the exit code. A message may name a more specific remedy than the one below.

Every error states in "ran" whether the request was executed:

- "no": no back end executed any part of the request. It may be sent again.
- "yes": a back end executed it, completely or partly.
- "unknown": it may or may not have been executed. A repeatable request may be
  sent again; any other only with the same Idempotency-Key.

"ran" applies to the whole request: if the first attempt was lost, a refusal of
the second does not make it "no".

| Exit code | Meaning |
|---|---|
| 0 | done |
| 1 | an internal error of fieldpond |
| 2 | the command line or the request is wrong |
| 3 | a file is invalid |
| 4 | a concurrent change came first: conflict, claim or fence |
| 5 | a service did not answer, refused, or does not exist |
| 6 | a wait timed out |
| 7 | access denied |

| Kind | Meaning | HTTP status | Exit code | Remedy |
|---|---|---|---|---|
`

// Errors returns the page of the error kinds. The meanings come from the doc
// comments in source, the text of internal/fault/kinds.go.
func Errors(source []byte) ([]byte, error) {
	parsed, err := doccomment.Parse(source)
	if err != nil {
		return nil, err
	}
	var page bytes.Buffer
	page.WriteString(errorsHeader)
	for _, constant := range parsed.Constants {
		if kind := fault.Kind(constant.Value); constant.Type == "Kind" {
			fmt.Fprintf(&page, "| `%s` | %s | %d | %d | %s |\n", kind, constant.Doc, kind.Status(), kind.ExitCode(), kind.Remedy())
		}
	}
	return page.Bytes(), nil
}
