// Command gen writes the reference pages of a node's metrics and log events.
// Run it by "go generate ./internal/node".
package main

import (
	"fmt"
	"os"

	"github.com/fieldpond/fieldpond/internal/node"
)

const pageMode = 0o644

func main() {
	pages := map[string][]byte{
		"../../docs/reference/edge-metrics.md": node.MetricsReference(),
		"../../docs/reference/log-events.md":   node.EventsReference(),
	}
	for path, page := range pages {
		if err := os.WriteFile(path, page, pageMode); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}
