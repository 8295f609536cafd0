// Command gen writes the constants of the states, events and guards of every
// state chart. Run it by "go generate ./internal/statechart".
package main

import (
	"fmt"
	"os"

	"github.com/fieldpond/fieldpond/internal/statechart"
)

const outputFile = "names_generated.go"

func main() {
	source, err := statechart.GenerateNames()
	if err == nil {
		err = os.WriteFile(outputFile, source, 0o644)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
