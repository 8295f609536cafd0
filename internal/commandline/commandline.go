// Package commandline holds what the command lines of both programs share:
// exit codes, the output formats, the version, and the check of the examples
// that their help shows.
package commandline

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/fault"
)

// Run executes a program and returns its exit code. A fault goes to the error
// output in one line with its remedy.
func Run(root *cobra.Command) int {
	err := root.Execute()
	if err == nil {
		return 0
	}
	raised := asFault(root, err)
	_, _ = fmt.Fprintln(root.ErrOrStderr(), raised)
	return raised.Kind.ExitCode()
}

// asFault returns the fault in err. Errors that are none, such as an unknown
// flag, are those that cobra raises about the command line itself.
func asFault(root *cobra.Command, err error) *fault.Fault {
	var raised *fault.Fault
	if errors.As(err, &raised) {
		return raised
	}
	return fault.New(fault.BadRequest, "%s", err.Error()).WithRemedy("'%s COMMAND --help' shows flags and examples", root.Name())
}

// SignalContext returns a context that ends when the process is told to stop, by
// SIGTERM or Ctrl-C, for a command that then ends in its planned way. Commands
// without one end at once.
func SignalContext(command *cobra.Command) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(command.Context(), syscall.SIGTERM, os.Interrupt)
}

// NewRoot returns the root command of a program with its subcommands, its
// version command; cobra adds help and shell completion.
func NewRoot(name, short, long, example string, subcommands ...*cobra.Command) *cobra.Command {
	root := &cobra.Command{
		Use:           name,
		Short:         short,
		Long:          long,
		Example:       example,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(subcommands...)
	root.AddCommand(newVersionCommand(name))
	return root
}

// Format is the value of the --output flag.
type Format string

const (
	// FormatTable is for people.
	FormatTable Format = "table"
	// FormatJSON is for scripts.
	FormatJSON Format = "json"
)

// AddOutputFlag adds the flag --output to a command.
func AddOutputFlag(command *cobra.Command, format *Format) {
	*format = FormatTable
	command.Flags().VarP(format, "output", "o", "table for people, json for scripts")
	_ = command.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(
		[]cobra.Completion{cobra.Completion(FormatTable), cobra.Completion(FormatJSON)}, cobra.ShellCompDirectiveNoFileComp))
}

// String implements pflag.Value.
func (f *Format) String() string { return string(*f) }

// Set implements pflag.Value.
func (f *Format) Set(value string) error {
	switch format := Format(value); format {
	case FormatTable, FormatJSON:
		*f = format
		return nil
	}
	return errors.Errorf("%q is neither table nor json", value)
}

// Type implements pflag.Value.
func (f *Format) Type() string { return "format" }

// WriteJSON writes a value as indented JSON.
func WriteJSON(writer io.Writer, value any) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
