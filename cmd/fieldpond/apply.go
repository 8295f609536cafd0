package main

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/commandline"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
)

// defaultApplyTimeout bounds an apply together with its wait.
const defaultApplyTimeout = 18 * time.Second

// applyFlags holds the flags of apply.
type applyFlags struct {
	path    string
	url     string
	base    uint64
	wait    bool
	routers []string
	timeout time.Duration
	output  commandline.Format
}

// applyReport is the JSON output of apply.
type applyReport struct {
	fleet.Applied
	// InForceOn counts the live routers with the version in force; set only
	// with --wait.
	InForceOn int `json:"in_force_on,omitempty"`
}

func newApplyCommand() *cobra.Command {
	flags := &applyFlags{}
	command := &cobra.Command{
		Use:   "apply -f FILE --platform URL",
		Short: "Put a fleet file in force",
		Long: `Apply checks a fleet file and puts it in force as a whole, under the next
version number. Either the whole file is accepted or nothing changes. Applying
the file in force again changes nothing and reports its version, so an apply
whose answer was lost can be retried.

If another operator applied a file in between, the apply fails with a conflict
(exit code 4) that names the version in force. With --base, any change since that
version is a conflict; without it, only one during the apply itself.

With --wait, the command returns once every live router has the version in
force. Until then it prints the lagging routers on the error output. When
--timeout expires it ends with exit code 6. The file is accepted in either case.`,
		Example: `  # Put a file in force.
  fieldpond apply -f fleet.yaml --platform http://127.0.0.1:7000

  # Only if version 17 is still in force, and wait for every router.
  fieldpond apply -f fleet.yaml --platform http://127.0.0.1:7000 --base 17 \
      --wait --routers 127.0.0.1:7501,127.0.0.1:7502

  # Drain an engine: set 'state: leaving' in its entry and apply the file.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return runApply(command, flags) },
	}
	addFileFlag(command, &flags.path)
	addPlatformFlag(command, &flags.url)
	commandline.AddOutputFlag(command, &flags.output)
	command.Flags().Uint64Var(&flags.base, "base", 0, "apply only if this version is in force; 0 means no file yet")
	command.Flags().BoolVar(&flags.wait, "wait", false, "wait until every live router has the version in force")
	command.Flags().StringSliceVar(&flags.routers, "routers", nil, "host:port of routers to query with --wait; one is enough, several tolerate the loss of one")
	command.Flags().DurationVar(&flags.timeout, "timeout", defaultApplyTimeout, "time limit of the apply and its wait together")
	command.MarkFlagsRequiredTogether("wait", "routers")
	return command
}

func runApply(command *cobra.Command, flags *applyFlags) error {
	if flags.timeout <= 0 {
		return fault.New(fault.InvalidSettings, "--timeout must be positive, not %s", flags.timeout).WithRemedy("give a positive duration such as 18s")
	}
	body, err := readFleetFile(command, flags.path)
	if err != nil {
		return err
	}
	if _, err := parseFleetFile(command, body, flags.path); err != nil {
		return err
	}
	table, err := openTable(flags.url)
	if err != nil {
		return err
	}
	options := fleet.ApplyOptions{}
	if command.Flags().Changed("base") {
		base := fleet.Version(flags.base)
		options.Base = &base
	}
	ctx, cancel := context.WithTimeout(command.Context(), flags.timeout)
	defer cancel()
	applied, err := fleet.Apply(ctx, table, body, options)
	if err != nil {
		return err
	}
	return reportApply(ctx, command, flags, applied)
}

// reportApply waits, with --wait, and prints the outcome of the apply, also when
// the wait fails.
func reportApply(ctx context.Context, command *cobra.Command, flags *applyFlags, applied fleet.Applied) error {
	report := applyReport{Applied: applied}
	var waitErr error
	if flags.wait {
		waiter := &statusWaiter{newRoutersClient(flags.routers), func(line string) { command.PrintErrln(line) }}
		report.InForceOn, waitErr = waiter.wait(ctx, max(applied.Version, applied.SupersededBy))
	}
	if flags.output == commandline.FormatJSON {
		if err := commandline.WriteJSON(command.OutOrStdout(), report); err != nil {
			return err
		}
		return waitErr
	}
	if _, err := fmt.Fprintln(command.OutOrStdout(), describeApplied(report)); err != nil {
		return err
	}
	return waitErr
}

func describeApplied(report applyReport) string {
	text := fmt.Sprintf("version %d accepted (digest %s, apply %s)", report.Version, report.Digest, report.ApplyID)
	if report.Unchanged {
		text = fmt.Sprintf("version %d already has this content; nothing changed", report.Version)
	}
	if report.SupersededBy > 0 {
		text += fmt.Sprintf("; superseded by version %d", report.SupersededBy)
	}
	if report.InForceOn > 0 {
		text += fmt.Sprintf("; in force on %d routers", report.InForceOn)
	}
	return text
}
