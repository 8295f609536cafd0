package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/commandline"
	"github.com/fieldpond/fieldpond/standin/platform"
	"github.com/fieldpond/fieldpond/standin/serve"
)

// platformGrace bounds the wait for running requests when the stand-in stops.
const platformGrace = 10 * time.Second

func newPlatformCommand() *cobra.Command {
	var options platform.Options
	var listen, machines string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run the stand-in for the platform's table, objects, weights and machine list",
		Long: `Run one process that stands in for the platform: the table service with its
conditional transactions, the object and weight stores and the list of machines,
each with its rate limit. It keeps everything in memory.`,
		Example: `  rehearse platform --listen 127.0.0.1:7000

  # A table limited to 20 requests a second, a machine list delayed by 30 seconds.
  rehearse platform --listen 127.0.0.1:7000 --table-rate 20 --lag 30s`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := options.Validate(); err != nil {
				return err
			}
			if machines != "" {
				list, err := platform.ReadMachines(machines)
				if err != nil {
					return err
				}
				options.Machines = list
			}
			ctx, stop := commandline.SignalContext(command)
			defer stop()
			return serve.Run(ctx, platform.NewServer(options), serve.Options{
				Name: "platform stand-in", Listen: listen, Grace: platformGrace,
			})
		},
	}
	flags := command.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:7000", "address to listen on")
	flags.Float64Var(&options.TableRate, "table-rate", 500, "table requests a second; 0 is no limit")
	flags.Float64Var(&options.ObjectRate, "object-rate", 200, "object requests a second; 0 is no limit")
	flags.Float64Var(&options.WeightRate, "weight-rate", 1, "weight fetches started a second; 0 is no limit")
	flags.Float64Var(&options.MachineRate, "machine-rate", 100, "machine list requests a second; 0 is no limit")
	flags.Float64Var(&options.WeightGigabytes, "weight-gigabytes", 8, "simulated size of one model version")
	flags.Float64Var(&options.WeightGigabytesPerSecond, "weight-gigabytes-per-second", 4, "simulated speed of one fetch; 0 is no delay")
	flags.DurationVar(&options.Lag, "lag", 5*time.Second, "delay before a change of the machine list is visible")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the fault draws")
	flags.StringVar(&machines, "machines", "", "YAML file of the machine list that is visible from the start")
	return command
}
