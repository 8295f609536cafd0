package reference

// Page is one generated page. Its paths are relative to this package.
type Page struct {
	// Source is the Go file that the page is generated from, Path the page.
	Source, Path string
	// Generate returns the page for the text of Source.
	Generate func(source []byte) ([]byte, error)
}

// Pages returns every page.
func Pages() []Page {
	return []Page{
		{Source: "../fault/kinds.go", Path: "../../docs/reference/errors.md", Generate: Errors},
		{Source: "../fleet/schema.go", Path: "../../docs/reference/fleet-file.md", Generate: FleetFile},
	}
}
