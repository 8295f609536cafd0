package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/standin/scale"
)

func newScaleCommand() *cobra.Command {
	config := scale.DefaultConfig(0)
	nodes := []int{}
	command := &cobra.Command{
		Use:   "scale --nodes N[,N...]",
		Short: "Measure what a router costs in fleets of several sizes, with hollow routers",
		Long: `Run so many hollow routers in this process and in virtual time: the real
membership, placement, directory and fleet machines without sockets. Print what
each duty costs a router in processor time, bytes and messages, the heap of a
router, and how long a new configuration takes to be in force everywhere under
loss, with a lost zone, and after a split between regions. Loads are those of
the size designed for, for each router. The command starts no process.`,
		Example: `  rehearse scale --nodes 4,16,64,390`,
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			for _, count := range nodes {
				sized := config
				sized.Nodes = count
				began := time.Now()
				if _, err := scale.Run(sized, command.OutOrStdout()); err != nil {
					return err
				}
				fmt.Fprintf(command.OutOrStdout(), "measured in %s\n\n", time.Since(began).Round(time.Second))
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.IntSliceVar(&nodes, "nodes", []int{4, 16, 64, scale.TargetNodes}, "numbers of routers, one run each")
	flags.Int64Var(&config.Seed, "seed", config.Seed, "seed of the first run of each case")
	flags.IntVar(&config.Seeds, "seeds", config.Seeds, "number of seeds of the configuration cases")
	flags.Float64Var(&config.Loss, "loss", config.Loss, "share of datagrams and segments lost")
	flags.DurationVar(&config.Settle, "settle", config.Settle, "virtual time for gossip to come to rest")
	flags.DurationVar(&config.Warm, "warm", config.Warm, "virtual time under load before the measurement")
	flags.DurationVar(&config.Window, "window", config.Window, "virtual time measured")
	flags.IntVar(&config.BodyBytes, "body-bytes", config.BodyBytes, "size of a fleet file on the wire")
	flags.DurationVar(&config.AdoptTime, "adopt-time", config.AdoptTime, "time a router works to put a fleet file in force")
	flags.IntVar(&config.UplinkBytes, "uplink-bytes", config.UplinkBytes, "bytes a second that a router can send")
	flags.IntVar(&config.Parallel, "parallel", config.Parallel, "configuration cases run at one time")
	return command
}
