package main

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/commandline"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/standin/engine/model"
	"github.com/fieldpond/fieldpond/standin/load"
	"github.com/fieldpond/fieldpond/standin/workload"
)

// loadOptions are the flags of "rehearse load".
type loadOptions struct {
	targets, truth []string
	schedule       string
	seed           uint64
	duration       time.Duration
	rate           float64
	output         commandline.Format
	allowLost      int
	maxInFlight    int
	patience       time.Duration
}

func newLoadCommand() *cobra.Command {
	options := &loadOptions{}
	command := &cobra.Command{
		Use:   "load --target URL --schedule FILE",
		Short: "Send a workload to routers as their callers would, and check every answer",
		Long: `Send a workload to routers, open loop, as its callers would, and classify every
answer: complete and correct, refused and not run, or lost. The text of an answer
is compared with what the stand-in engines must produce. With --truth, the truth
logs of the engines show how many tokens were recomputed although a permitted
engine had them cached.

The exit code is not 0 if more than --allow-lost requests were lost.`,
		Example: `  # The load of an example for 10 seconds, with the engines' truth logs.
  rehearse load --schedule examples/muldenring/load.yaml --duration 10s \
      --target http://127.0.0.1:7001 --target http://127.0.0.1:7003 \
      --truth http://127.0.0.1:7101

  # Twice the rate, as JSON.
  rehearse load --schedule examples/muldenring/load.yaml --rate 24 \
      --target http://127.0.0.1:7001 --output json`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runLoad(command, options)
		},
	}
	flags := command.Flags()
	flags.StringArrayVar(&options.targets, "target", nil, "base URL of a router; repeat for several")
	flags.StringArrayVar(&options.truth, "truth", nil, "base URL of a stand-in engine whose truth log is read at the end; repeat for several")
	flags.StringVar(&options.schedule, "schedule", "", "load schedule (YAML)")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the load")
	flags.DurationVar(&options.duration, "duration", 0, "duration of the arrivals (default: from the schedule)")
	flags.Float64Var(&options.rate, "rate", 0, "mean arrivals a second (default: from the schedule)")
	commandline.AddOutputFlag(command, &options.output)
	flags.IntVar(&options.allowLost, "allow-lost", 0, "maximum number of lost requests that still counts as success")
	flags.IntVar(&options.maxInFlight, "max-in-flight", 0, "maximum number of open requests (default 2048)")
	flags.DurationVar(&options.patience, "patience", 0, "time limit of one request (default 2m)")
	return command
}

func runLoad(command *cobra.Command, options *loadOptions) error {
	config, err := options.config()
	if err != nil {
		return err
	}
	ctx, stop := commandline.SignalContext(command)
	defer stop()
	command.PrintErrf("sending for %s to %d routers, then waiting for the answers\n", config.Spec.Duration, len(config.Targets))
	report, err := load.Run(ctx, config)
	if report == nil {
		return err
	}
	write := report.WriteTable
	if options.output == commandline.FormatJSON {
		write = report.WriteJSON
	}
	if writeError := write(command.OutOrStdout()); writeError != nil {
		return writeError
	}
	if err != nil {
		return err
	}
	return report.Check(options.allowLost)
}

func (o *loadOptions) config() (load.Config, error) {
	if len(o.targets) == 0 || o.schedule == "" {
		return load.Config{}, fault.New(fault.BadRequest, "--target and --schedule are needed")
	}
	if o.rate < 0 || o.duration < 0 || o.maxInFlight < 0 || o.patience < 0 {
		return load.Config{}, fault.New(fault.BadRequest, "--rate, --duration, --max-in-flight and --patience must not be negative")
	}
	spec, err := workload.Load(o.schedule)
	if err != nil {
		return load.Config{}, fault.Wrap(err, fault.BadRequest, "the load schedule cannot be used").
			WithRemedy("correct the schedule; examples/muldenring/load.yaml is a valid one")
	}
	if o.rate > 0 {
		spec.Rate = o.rate
	}
	if o.duration > 0 {
		spec.Duration = o.duration
	}
	config := load.Config{
		Targets: o.targets, Spec: spec, Seed: o.seed, ExpectedText: model.ExpectedText,
		MaxInFlight: o.maxInFlight, RequestTimeout: o.patience,
	}
	if len(o.truth) > 0 {
		config.ReadWaste = func(ctx context.Context) (load.Waste, error) {
			waste, err := load.ReadWaste(ctx, o.truth)
			return waste, errors.Wrap(err, "measuring wasted recomputation")
		}
	}
	return config, nil
}
