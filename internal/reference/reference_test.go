package reference

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/fieldpond/fieldpond/internal/fault"
)

func TestPagesAreCurrent(t *testing.T) {
	for _, page := range Pages() {
		t.Run(page.Path, func(t *testing.T) {
			is := is.New(t)
			source, err := os.ReadFile(page.Source)
			is.NoErr(err)
			want, err := page.Generate(source)
			is.NoErr(err)
			got, err := os.ReadFile(page.Path)
			is.NoErr(err)
			is.Equal(string(got), string(want)) // run "go generate ./internal/reference"
		})
	}
}

// Guards against items without a doc comment and kinds missing from the table of
// kinds, which would get the remedy of Internal.
func TestRowsAreComplete(t *testing.T) {
	is := is.New(t)
	for _, page := range Pages() {
		text, err := os.ReadFile(page.Path)
		is.NoErr(err)
		for row := range strings.Lines(string(text)) {
			if strings.Contains(row, "|  |") {
				t.Errorf("%s: an empty cell in %s", page.Path, row)
			}
			if strings.Contains(row, fault.Internal.Remedy()) && !strings.Contains(row, string(fault.Internal)) {
				t.Errorf("%s: a kind missing from the table of kinds: %s", page.Path, row)
			}
		}
	}
}
