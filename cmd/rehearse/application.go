package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/commandline"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/ident"
	"github.com/fieldpond/fieldpond/standin/application"
	"github.com/fieldpond/fieldpond/standin/serve"
)

func newApplicationCommand() *cobra.Command {
	var options application.Options
	var listen, incarnation, truth string
	var executeMillis int
	var notice, grace time.Duration
	command := &cobra.Command{
		Use:   "application",
		Short: "Run the stand-in for an application back end",
		Long: `Run a process that behaves like an application back end: it executes every
request it accepts, with a simulated duration, and keeps a truth log of all
executions, from which a test can tell whether a request ran twice.

SIGTERM shuts it down gracefully: for the time of --notice it refuses new requests
as leaving, and it finishes the running ones.`,
		Example: `  rehearse application --listen 127.0.0.1:7201 --execute-millis 50`,
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options.Incarnation = ident.Incarnation(incarnation)
			options.ExecutionTime = time.Duration(executeMillis) * time.Millisecond
			if err := options.Validate(); err != nil {
				return err
			}
			if truth != "" {
				file, err := os.OpenFile(truth, os.O_CREATE|os.O_APPEND|os.O_WRONLY, truthFileMode)
				if err != nil {
					return fault.Wrap(err, fault.InvalidSettings, "truth file cannot be opened").WithRemedy("give --truth a writable path")
				}
				defer func() { _ = file.Close() }()
				options.TruthWriter = file
			}
			server := application.NewServer(options)
			ctx, stop := commandline.SignalContext(command)
			defer stop()
			return serve.Run(ctx, server, serve.Options{
				Name: "application stand-in", Listen: listen, Grace: grace,
				BeforeStop: func() {
					server.Drain()
					time.Sleep(notice)
				},
			})
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7200", "address to listen on")
	flags.StringVar(&incarnation, "incarnation", "", "incarnation of this process; empty generates one")
	flags.IntVar(&executeMillis, "execute-millis", 20, "duration of one execution, in milliseconds")
	flags.IntVar(&options.MaxRunning, "max-running", 0, "refuse requests above this number; 0 is no limit")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the fault draws")
	flags.StringVar(&truth, "truth", "", "file to append the truth log to; empty keeps it in memory only")
	flags.DurationVar(&notice, "notice", time.Second, "how long to refuse new requests as leaving before the listener closes")
	flags.DurationVar(&grace, "grace", 30*time.Second, "longest wait for running executions after --notice")
	return command
}
