package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/commandline"
	"github.com/fieldpond/fieldpond/internal/fleet"
)

// checkReport is the JSON output of check.
type checkReport struct {
	File     string         `json:"file"`
	Digest   fleet.Digest   `json:"digest"`
	Valid    bool           `json:"valid"`
	Problems fleet.Problems `json:"problems"`
}

func newCheckCommand() *cobra.Command {
	var path string
	var output commandline.Format
	command := &cobra.Command{
		Use:   "check -f FILE",
		Short: "Check a fleet file without applying it",
		Long: `Check reads a fleet file and lists everything that is wrong with it, each with
its line, its field and the remedy. It contacts no service and changes nothing.

A file with errors cannot be applied, and the exit code is 3. Warnings, such as a
tenant whose places have no engine for one of its services, are only printed.`,
		Example: `  # Check a file before applying it.
  fieldpond check -f examples/muldenring/fleet.yaml

  # In a script: list the lines with errors.
  fieldpond check -f fleet.yaml -o json | jq '.problems[].line'`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			body, err := readFleetFile(command, path)
			if err != nil {
				return err
			}
			return runCheck(command, body, path, output)
		},
	}
	addFileFlag(command, &path)
	commandline.AddOutputFlag(command, &output)
	return command
}

func runCheck(command *cobra.Command, body []byte, path string, output commandline.Format) error {
	if output == commandline.FormatJSON {
		document, problems := fleet.Parse(body, path)
		report := checkReport{File: path, Digest: fleet.DigestOf(body), Valid: document != nil, Problems: append(fleet.Problems{}, problems...)}
		if err := commandline.WriteJSON(command.OutOrStdout(), report); err != nil {
			return err
		}
		return problemsError(problems)
	}
	document, err := parseFleetFile(command, body, path)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(command.OutOrStdout(), "%s is sound: %d tenants, %d services, %d engines, %d applications\n",
		path, len(document.Tenants), len(document.Services), len(document.Engines), len(document.Applications))
	return err
}
