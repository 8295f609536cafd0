package proofs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	namedTest    = regexp.MustCompile("`((?:Test|Benchmark)[A-Za-z0-9]+)`")
	declaredTest = regexp.MustCompile(`(?m)^func ((?:Test|Benchmark)[A-Za-z0-9]+)\(`)
)

// Guards against names of missing tests in docs/PROOFS.md.
func TestProofsPageNamesExistingTests(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../docs/PROOFS.md")
	is.NoErr(err)
	declared := map[string]bool{}
	is.NoErr(filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		for _, found := range declaredTest.FindAllSubmatch(source, -1) {
			declared[string(found[1])] = true
		}
		return err
	}))
	named := namedTest.FindAllSubmatch(page, -1)
	is.True(len(named) > 50)
	for _, found := range named {
		if !declared[string(found[1])] {
			t.Errorf("docs/PROOFS.md names %s, which does not exist", found[1])
		}
	}
}
