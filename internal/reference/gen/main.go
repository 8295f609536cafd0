// Command gen writes the reference pages of the error kinds and of the fleet
// file. Run it by "go generate ./internal/reference".
package main

import (
	"fmt"
	"os"

	"github.com/fieldpond/fieldpond/internal/reference"
)

const pageMode = 0o644

func main() {
	for _, page := range reference.Pages() {
		if err := write(page); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func write(page reference.Page) error {
	source, err := os.ReadFile(page.Source)
	if err != nil {
		return err
	}
	text, err := page.Generate(source)
	if err != nil {
		return err
	}
	return os.WriteFile(page.Path, text, pageMode)
}
