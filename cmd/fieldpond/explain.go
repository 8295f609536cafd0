package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/eventlog"
	"github.com/fieldpond/fieldpond/internal/fault"
)

func newExplainCommand() *cobra.Command {
	var instance, rollout string
	var configuration bool
	command := &cobra.Command{
		Use:   "explain [REQUEST-ID] [LOG-FILE...]",
		Short: "Print the routers' log lines about one request",
		Long: `Print, in order of time, every line in the logs of any number of routers about
one request, one back end (--instance), the rollout of a service to another
release (--rollout) or the configuration (--configuration). Without a file, the
logs are read from standard input. Text before the JSON object of a line is skipped.`,
		Example: `  fieldpond explain 9c41d07be2a35f68 router-1.log router-2.log
  fieldpond explain --instance i-7f3a91c2 router-1.log
  fieldpond explain --rollout lm-pool router-1.log router-2.log
  fieldpond explain --configuration router-1.log`,
		RunE: func(command *cobra.Command, arguments []string) error {
			filter := eventlog.Filter{Instance: instance, Rollout: rollout, Configuration: configuration}
			if instance == "" && rollout == "" && !configuration {
				if len(arguments) == 0 {
					return fault.New(fault.BadRequest, "the request id is missing").
						WithRemedy("give a request's id, --instance, --rollout or --configuration")
				}
				filter.Request, arguments = arguments[0], arguments[1:]
			}
			return explain(command, filter, arguments)
		},
	}
	command.Flags().StringVar(&instance, "instance", "", "print the history of this back end")
	command.Flags().StringVar(&rollout, "rollout", "", "print the history of rollouts of this service to another release")
	command.Flags().BoolVar(&configuration, "configuration", false, "print the history of the configuration")
	return command
}

func explain(command *cobra.Command, filter eventlog.Filter, paths []string) error {
	trail := eventlog.NewTimeline(filter)
	if len(paths) == 0 {
		if err := trail.Read(command.InOrStdin()); err != nil {
			return fault.Wrap(err, fault.BadRequest, "standard input cannot be read")
		}
	}
	for _, path := range paths {
		if err := readLog(trail, path); err != nil {
			return err
		}
	}
	lines := trail.Lines()
	if len(lines) == 0 {
		return fault.New(fault.BadRequest, "no log line matches").
			WithRemedy("check the id, and give the logs of every router of the zone")
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(command.OutOrStdout(), line); err != nil {
			return err
		}
	}
	return nil
}

func readLog(trail *eventlog.Timeline, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "the log %s cannot be read", path)
	}
	defer func() { _ = file.Close() }()
	if err := trail.Read(io.Reader(file)); err != nil {
		return fault.Wrap(err, fault.BadRequest, "the log %s cannot be read", path)
	}
	return nil
}
