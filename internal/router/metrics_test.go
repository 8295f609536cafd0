package router

import (
	"bytes"
	"os"
	"regexp"
	"testing"

	"github.com/matryer/is"
)

func TestMetricsReferenceIsCurrent(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/reference/metrics.md")
	is.NoErr(err)
	is.Equal(string(page), string(MetricsReference())) // run "go generate ./internal/router"
}

func TestHandbookNamesRealMetrics(t *testing.T) {
	is := is.New(t)
	handbook, err := os.ReadFile("../../docs/operators/handbook.md")
	is.NoErr(err)
	named := regexp.MustCompile(`fieldpond_[a-z_]+`).FindAll(handbook, -1)
	is.True(len(named) > 0)
	for _, name := range named {
		if !bytes.Contains(MetricsReference(), append([]byte("`"), append(name, '`')...)) {
			t.Errorf("the handbook names %s, which does not exist", name)
		}
	}
}
