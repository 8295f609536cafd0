package routing_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// impure lists the imports that the decision packages must not have.
var impure = map[string]bool{
	"net": true, "net/http": true, "os": true, "io": true, "context": true, "math/rand": true, "math/rand/v2": true,
	"crypto/rand": true, "log": true, "github.com/apex/log": true,
}

// The decision packages use no clock, socket, goroutine, channel or global
// random source.
func TestDecisionCoresArePure(t *testing.T) {
	for _, root := range []string{".", "../prefix"} {
		files := 0
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			files++
			for _, finding := range impurities(t, path) {
				t.Errorf("%s: %s", path, finding)
			}
			return nil
		})
		is.New(t).NoErr(err)
		is.New(t).True(files > 0)
	}
}

func impurities(t *testing.T, path string) (findings []string) {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	is.New(t).NoErr(err)
	ast.Inspect(file, func(node ast.Node) bool {
		switch found := node.(type) {
		case *ast.ImportSpec:
			if name, _ := strconv.Unquote(found.Path.Value); impure[name] {
				findings = append(findings, "imports "+name)
			}
		case *ast.GoStmt, *ast.SelectStmt, *ast.ChanType:
			findings = append(findings, "uses a goroutine or channel")
		case *ast.SelectorExpr:
			if module, ok := found.X.(*ast.Ident); ok && module.Name == "time" && clockFunctions[found.Sel.Name] {
				findings = append(findings, "calls time."+found.Sel.Name)
			}
		}
		return true
	})
	return findings
}

var clockFunctions = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true, "Tick": true, "NewTimer": true, "NewTicker": true,
}
