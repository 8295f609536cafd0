package router

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestMetricsReferenceIsCurrent(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/reference/metrics.md")
	is.NoErr(err)
	is.Equal(string(page), string(MetricsReference())) // run "go generate ./internal/router"
}
