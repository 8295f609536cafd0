package main

import (
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/internal/store"
)

// openTable returns a client of the platform's table service at a URL. Tests
// replace it by a table in memory.
var openTable = func(url string) (store.Table, error) {
	return store.NewHTTPClient(url, store.Options{})
}

func addFileFlag(command *cobra.Command, path *string) {
	command.Flags().StringVarP(path, "file", "f", "", "the fleet file, or - for standard input")
	_ = command.MarkFlagRequired("file")
}

func addPlatformFlag(command *cobra.Command, url *string) {
	command.Flags().StringVar(url, "platform", "", "base URL of the platform's services, for example http://127.0.0.1:7000")
	_ = command.MarkFlagRequired("platform")
}

// readFleetFile reads at most one byte above the limit; fleet.Parse reports the excess.
func readFleetFile(command *cobra.Command, path string) ([]byte, error) {
	var source = command.InOrStdin()
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, fault.Wrap(err, fault.InvalidFleet, "the fleet file cannot be read").WithRemedy("give the path of a readable file with -f")
		}
		defer func() { _ = file.Close() }()
		source = file
	}
	body, err := io.ReadAll(io.LimitReader(source, fleet.MaxFileBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidFleet, "the fleet file cannot be read").WithRemedy("give the path of a readable file with -f")
	}
	return body, nil
}

// parseFleetFile parses the file and prints its problems to the error output.
func parseFleetFile(command *cobra.Command, body []byte, path string) (*fleet.Document, error) {
	document, problems := fleet.Parse(body, path)
	for _, problem := range problems {
		command.PrintErrln(problem)
	}
	return document, problemsError(problems)
}

// problemsError returns a fault with the number of errors, which are printed already.
func problemsError(problems fleet.Problems) error {
	if count := len(problems.Errors()); count > 0 {
		return fault.New(fault.InvalidFleet, "%d errors in %s", count, problems[0].File)
	}
	return nil
}
