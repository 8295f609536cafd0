// Command gen writes the reference page of the settings and the usages of
// their flags. Run it by "go generate ./internal/settings".
package main

import (
	"fmt"
	"os"

	"github.com/fieldpond/fieldpond/internal/settings"
)

func main() {
	if err := generate(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func generate() error {
	source, err := os.ReadFile("settings.go")
	if err != nil {
		return err
	}
	page, usages, err := settings.GenerateReference(source)
	if err != nil {
		return err
	}
	if err := os.WriteFile("usages_generated.go", usages, 0o644); err != nil {
		return err
	}
	return os.WriteFile("../../docs/reference/settings.md", page, 0o644)
}
