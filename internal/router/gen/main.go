// Command gen writes the reference page of the metrics. Run it with
// "go generate ./internal/router".
package main

import (
	"fmt"
	"os"

	"github.com/fieldpond/fieldpond/internal/router"
)

const pageMode = 0o644

func main() {
	if err := os.WriteFile("../../docs/reference/metrics.md", router.MetricsReference(), pageMode); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
