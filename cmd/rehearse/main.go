// Command rehearse is the rehearsal kit: stand-ins, load and experiments.
package main

import (
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/fault"
)

func main() {
	if err := newRootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

// exitCode returns the exit code of a fault's kind, and that of a bad request
// for the errors that cobra raises itself, such as an unknown flag.
func exitCode(err error) int {
	var raised *fault.Fault
	if errors.As(err, &raised) {
		return raised.Kind.ExitCode()
	}
	return fault.BadRequest.ExitCode()
}

func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "rehearse",
		Short:         "Rehearse a fieldpond deployment on stand-ins",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(subcommands()...)
	return root
}
