// Package commandline holds what both programs share: exit codes, output formats,
// the version command, and a check of the command lines in help and pages.
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

// Run executes a program and returns its exit code. It prints a fault with its
// remedy in one line to the error output.
func Run(root *cobra.Command) int {
	err := root.Execute()
	if err == nil {
		return 0
	}
	raised := asFault(root, err)
	_, _ = fmt.Fprintln(root.ErrOrStderr(), raised)
	return raised.Kind.ExitCode()
}

// asFault returns the fault in err. Other errors, such as an unknown flag, come
// from cobra and concern the command line.
func asFault(root *cobra.Command, err error) *fault.Fault {
	var raised *fault.Fault
	if errors.As(err, &raised) {
		return raised
	}
	return fault.New(fault.BadRequest, "%s", err.Error()).WithRemedy("'%s COMMAND --help' shows flags and examples", root.Name())
}

// SignalContext returns a context that ends on SIGTERM or Ctrl-C, for commands
// that stop gracefully. The signals end other commands at once.
func SignalContext(command *cobra.Command) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(command.Context(), syscall.SIGTERM, os.Interrupt)
}

// NewRoot returns the root command of a program with its subcommands and a
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

// AddOutputFlag adds the flag --output.
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
