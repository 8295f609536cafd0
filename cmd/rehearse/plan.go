package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/internal/fleet"
	"github.com/fieldpond/fieldpond/standin/deployment"
)

// planFileMode is private to the owner, since one of the files is a key.
const planFileMode = 0o600

func newPlanCommand() *cobra.Command {
	var fleetFile string
	options := deployment.Options{}
	command := &cobra.Command{
		Use:   "plan --fleet FILE --directory DIR",
		Short: "Write the files of a rehearsal and print its processes",
		Long: `Write the settings files, the cluster key and the machine list of a rehearsal
of a fleet file into a directory, and print one line for each process in the
start order: its name, its HTTP address, its program and its arguments,
separated by tabs. The command starts nothing.`,
		Example: `  # 'scripts/up' does this and starts the processes.
  mkdir -p out/demo
  rehearse plan --fleet examples/muldenring/fleet.yaml --directory out/demo --routers 3`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			plan, err := planFromFile(fleetFile, options)
			if err != nil {
				return err
			}
			for _, file := range plan.Files {
				if err := os.WriteFile(file.Path, file.Data, planFileMode); err != nil {
					return fault.Wrap(err, fault.InvalidSettings, "writing the plan").WithRemedy("create the directory first")
				}
			}
			for _, process := range plan.All() {
				fmt.Fprintf(command.OutOrStdout(), "%s\t%s\t%s\t%s\n",
					process.Name, process.Address, process.Program, strings.Join(process.Args, " "))
			}
			return nil
		},
	}
	flags := command.Flags()
	flags.StringVar(&fleetFile, "fleet", "", "fleet file (YAML)")
	flags.StringVar(&options.Directory, "directory", "", "existing directory to write into")
	flags.IntVar(&options.Routers, "routers", 3, "number of routers, spread over the zones")
	flags.StringVar(&options.Host, "host", "127.0.0.1", "loopback address of the platform and the routers")
	flags.IntVar(&options.FirstPort, "first-port", 7000, "the platform's port; routers take the ports after it")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the stand-ins")
	flags.IntVar(&options.CacheBlocks, "cache-blocks", 0, "capacity of each engine's block cache; 0 is the stand-in's default")
	flags.StringVar(&options.ClusterKey, "cluster-key", "rehearsal-only-cluster-key-0123456789", "key the routers share, at least 32 bytes")
	return command
}

func planFromFile(fleetFile string, options deployment.Options) (*deployment.Plan, error) {
	data, err := os.ReadFile(fleetFile)
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidFleet, "reading the fleet file").WithRemedy("give the path of a readable file with --fleet")
	}
	document, problems := fleet.Parse(data, fleetFile)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return deployment.New(document, options)
}
