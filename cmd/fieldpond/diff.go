package main

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/commandline"
	"github.com/fieldpond/fieldpond/internal/fleet"
)

// diffTimeout bounds reading the file in force.
const diffTimeout = 30 * time.Second

// diffReport is the JSON output of diff.
type diffReport struct {
	// InForce is the version compared with; 0 when there is none.
	InForce fleet.Version  `json:"in_force"`
	Changes []fleet.Change `json:"changes"`
}

func newDiffCommand() *cobra.Command {
	var path, url string
	var output commandline.Format
	command := &cobra.Command{
		Use:   "diff -f FILE --platform URL",
		Short: "Show what applying a fleet file would change",
		Long: `Diff compares a fleet file with the version in force and shows what an apply
would add, remove or change, entry by entry and field by field. It changes
nothing. It prints the version in force: pass it to 'apply --base', and the
apply fails if another operator applied a file in between.`,
		Example: `  # What would change?
  fieldpond diff -f fleet.yaml --platform http://127.0.0.1:7000

  # Apply exactly that, or nothing.
  fieldpond apply -f fleet.yaml --platform http://127.0.0.1:7000 --base 17`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			body, err := readFleetFile(command, path)
			if err != nil {
				return err
			}
			document, err := parseFleetFile(command, body, path)
			if err != nil {
				return err
			}
			return runDiff(command, document, url, output)
		},
	}
	addFileFlag(command, &path)
	addPlatformFlag(command, &url)
	commandline.AddOutputFlag(command, &output)
	return command
}

func runDiff(command *cobra.Command, document *fleet.Document, url string, output commandline.Format) error {
	table, err := openTable(url)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(command.Context(), diffTimeout)
	defer cancel()
	stored, found, err := fleet.ReadStored(ctx, table)
	if err != nil {
		return err
	}
	report := diffReport{}
	if found {
		report.InForce = stored.Head.CurrentRef().Version
	}
	difference := fleet.Compare(stored.Document, document)
	report.Changes = difference.Changes
	if output == commandline.FormatJSON {
		return commandline.WriteJSON(command.OutOrStdout(), report)
	}
	if _, err := fmt.Fprintf(command.OutOrStdout(), "against version %d\n", report.InForce); err != nil {
		return err
	}
	return difference.WriteTable(command.OutOrStdout())
}
