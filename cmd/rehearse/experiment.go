package main

import (
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/fieldpond/fieldpond/internal/commandline"
	"github.com/fieldpond/fieldpond/internal/fault"
	"github.com/fieldpond/fieldpond/standin/experiment"
)

// defaultParallel is the number of concurrent simulations.
const defaultParallel = 6

// experimentOptions are the flags of "rehearse experiment".
type experimentOptions struct {
	scenarios, policies []string
	files               []string
	seeds, parallel     int
	plots               string
	output              commandline.Format
}

func newExperimentCommand() *cobra.Command {
	options := &experimentOptions{}
	command := &cobra.Command{
		Use:   "experiment",
		Short: "Compare placement policies over simulated deployments in virtual time",
		Long: `Compare placement policies over simulated deployments in virtual time.

For each seed, every policy gets the same arrivals and the same faults. Results
are measured on the actual state of the simulated engines. A whole comparison
takes seconds to minutes and is deterministic.`,
		Example: `  rehearse experiment --scenario muldenring-steady,parking-steady --seeds 5
  rehearse experiment --scenario all --policy all --output json`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return runExperiment(command, options) },
	}
	flags := command.Flags()
	flags.StringSliceVar(&options.scenarios, "scenario", []string{"muldenring-steady", "parking-steady"}, "scenarios to run, or all")
	flags.StringArrayVar(&options.files, "scenario-file", nil, "additional scenario file (YAML) to run; repeat for several")
	flags.StringSliceVar(&options.policies, "policy", experiment.DefaultPolicies(), "policies to compare, or all")
	flags.IntVar(&options.seeds, "seeds", 5, "number of seeds, starting at 1")
	flags.IntVar(&options.parallel, "parallel", defaultParallel, "maximum number of concurrent simulations")
	flags.StringVar(&options.plots, "plots", "", "directory to write plots (PNG) to")
	commandline.AddOutputFlag(command, &options.output)
	return command
}

func runExperiment(command *cobra.Command, options *experimentOptions) error {
	plan, err := options.plan()
	if err != nil {
		return err
	}
	plan.Progress = progressPrinter(command)
	runs, err := experiment.Execute(plan)
	if err != nil {
		return err
	}
	rows := experiment.Summarise(runs)
	write := experiment.WriteTable
	if options.output == commandline.FormatJSON {
		write = experiment.WriteJSON
	}
	if err := write(command.OutOrStdout(), rows); err != nil {
		return err
	}
	if options.plots == "" {
		return nil
	}
	return experiment.WritePlots(options.plots, rows)
}

// progressInterval is the minimum time between two progress lines.
const progressInterval = 2 * time.Second

// progressPrinter returns a callback that prints progress on the error output at
// most once per progressInterval.
func progressPrinter(command *cobra.Command) func(started, total int) {
	lastPrinted := time.Now()
	return func(started, total int) {
		if time.Since(lastPrinted) >= progressInterval {
			lastPrinted = time.Now()
			command.PrintErrf("%d of %d simulations started\n", started, total)
		}
	}
}

func (o *experimentOptions) plan() (experiment.Plan, error) {
	plan := experiment.Plan{Parallel: o.parallel}
	if o.seeds < 1 || o.parallel < 1 {
		return plan, fault.New(fault.BadRequest, "--seeds and --parallel must be at least 1")
	}
	for seed := range o.seeds {
		plan.Seeds = append(plan.Seeds, uint64(seed+1))
	}
	var err error
	if plan.Scenarios, err = experiment.ScenariosByName(o.scenarios); err != nil {
		return plan, err
	}
	for _, file := range o.files {
		source, err := os.ReadFile(file)
		if err != nil {
			return plan, fault.Wrap(err, fault.BadRequest, "the scenario file cannot be read")
		}
		scenario, err := experiment.ParseScenario(source)
		if err != nil {
			return plan, err
		}
		plan.Scenarios = append(plan.Scenarios, scenario)
	}
	plan.Policies, err = experiment.PoliciesByName(o.policies)
	return plan, err
}
